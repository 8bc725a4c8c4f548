#!/usr/bin/env bash
# run-tests.sh BUILD
# Runs every test program in BUILD/tests and every process test in tests/process. The last line gives the totals.
# A test that is listed in KNOWN-RED.txt may fail: its failure is printed as KNOWN RED and counted as skipped.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0
skipped=0
# Number of test processes that run at the same time.
processes_at_once=6
# Programs whose groups run as processes of their own, and the groups that start first.
long_programs=(relayTests platformAdapterTests netTests)
long_groups=("relayTests TheLimitOnRetries" "platformAdapterTests AHostThatReachesNoEndpoint" "platformAdapterTests AnAnswerThatBreaksOff"
    "platformAdapterTests APlannedStop" "platformAdapterTests ARequestThatArrivesDuringAPlannedStop" "relayTests AFleetUnderFaults")
# Number of process tests that run at the same time, but for those that need the whole machine.
scripts_at_once=2

# is_known_red TEST: succeeds if the test is listed in KNOWN-RED.txt.
is_known_red() {
    [ -f KNOWN-RED.txt ] && grep -q "^test: $1\$" KNOWN-RED.txt
}

# report_failure TEST: prints and counts a failed test.
report_failure() {
    if is_known_red "$1"; then
        echo "KNOWN RED $1"
        skipped=$((skipped + 1))
    else
        echo "FAILED $1"
        failed=$((failed + 1))
    fi
}

# list_processes: prints a line "PROGRAM [GROUP]" for each test process. The groups of the programs that take longest run as processes of their own; they
# share no ports or folders. The longest groups start first.
list_processes() {
    printf '%s\n' "${long_groups[@]}"
    for program in "${long_programs[@]}"; do
        "$build/tests/$program" -lg | xargs -n 1 echo "$program"
    done | grep -vxF -f <(printf '%s\n' "${long_groups[@]}")
    for program in "$build"/tests/*Tests; do
        [ -x "$program" ] && basename "$program"
    done | grep -vxF -f <(printf '%s\n' "${long_programs[@]}")
}

# run_process PROGRAM [GROUP]: runs a test program or one of its groups; its output and its exit code go to files of its name.
run_process() {
    "$build/tests/$1" -v ${2:+-sg "$2"} >"$work/$1-${2:-}.out" 2>&1
    echo $? >"$work/$1-${2:-}.code"
}

# count_ran FILE: prints how many tests ran by that output.
count_ran() {
    grep -oE '[0-9]+ ran' "$1" | tail -1 | cut -d' ' -f1
}

# report_program PROGRAM: prints and counts the results of a program, all its processes together.
report_program() {
    local name=$1 ran=0 listed failures failed_here=0 each
    for code in "$work/$name"-*.code; do
        local out=${code%.code}.out
        each=$(count_ran "$out")
        ran=$((ran + ${each:-0}))
        failures=$(grep -o 'Failure in TEST(.*)' "$out" | sort -u | sed 's/Failure in //')
        if [ -n "$failures" ]; then
            cat "$out"
            while read -r test; do report_failure "$name $test"; done <<<"$failures"
            failed_here=$((failed_here + $(grep -c . <<<"$failures")))
        elif [ "$(cat "$code")" -ne 0 ]; then
            cat "$out"
            report_failure "$name"
        fi
    done
    listed=$("$build/tests/$name" -ln | wc -w)
    if [ "$ran" -ne "$listed" ]; then
        echo "$name: $ran of $listed tests ran"
        report_failure "$name"
    fi
    ran=$((ran > failed_here ? ran - failed_here : 0))
    echo "$name: $ran passed"
    passed=$((passed + ran))
}

# run_script SCRIPT: runs a process test; its output and its exit code go to files of its name.
run_script() {
    timeout 180 bash "$1" "$build" >"$work/$(basename "$1").out" 2>&1
    echo $? >"$work/$(basename "$1").code"
}

# list_scripts: prints the process tests.
list_scripts() {
    for script in tests/process/*.sh; do
        case $(basename "$script") in lib.sh | untrusted.sh) ;; *) echo "$script" ;; esac
    done
}

export -f run_process run_script
export build work

# Most processes wait or use one processor, so some of them run at the same time.
list_processes | xargs -P "$processes_at_once" -L 1 bash -c 'run_process "$@"' run_process
for program in "$build"/tests/*Tests; do
    [ -x "$program" ] && report_program "$(basename "$program")"
done

# Each process test has its own ports and folders. The soak runs many fleets, the benchmark compares rates, and the crowds of untrusted callers need memory and
# time, so that nothing else runs beside them.
whole_machine='^tests/process/(soak|refusals|untrusted-[a-z]+)\.sh$'
list_scripts | grep -vE "$whole_machine" | xargs -P "$scripts_at_once" -L 1 bash -c 'run_script "$@"' run_script
list_scripts | grep -E "$whole_machine" | xargs -P 1 -L 1 bash -c 'run_script "$@"' run_script
while read -r script; do
    if [ "$(cat "$work/$(basename "$script").code")" -eq 0 ]; then
        echo "$script: passed"
        passed=$((passed + 1))
    else
        tail -60 "$work/$(basename "$script").out"
        report_failure "$script"
    fi
done < <(list_scripts)

echo "$passed passed, $failed failed, $skipped skipped"
[ $failed -eq 0 ]
