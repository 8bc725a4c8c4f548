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
# Number of test programs that run at the same time.
programs_at_once=4

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

# run_program PROGRAM: runs a test program; its output and its exit code go to files of its name.
run_program() {
    "$1" -v >"$work/$(basename "$1").out" 2>&1
    echo $? >"$work/$(basename "$1").code"
}
export -f run_program
export work

# Most programs wait or use one processor, so some of them run at the same time.
find "$build/tests" -maxdepth 1 -name '*Tests' -executable -print0 | sort -z | xargs -0 -P "$programs_at_once" -I{} bash -c 'run_program {}'

for program in "$build"/tests/*Tests; do
    [ -x "$program" ] || continue
    out=$work/$(basename "$program").out
    code=$(cat "$work/$(basename "$program").code")
    ran=$(grep -oE '[0-9]+ ran' "$out" | tail -1 | cut -d' ' -f1)
    ran=${ran:-0}
    failures=$(grep -o 'Failure in TEST(.*)' "$out" | sort -u | sed 's/Failure in //')
    if [ -n "$failures" ]; then
        cat "$out"
        while read -r name; do report_failure "$(basename "$program") $name"; done <<<"$failures"
        ran=$((ran - $(grep -c . <<<"$failures")))
    elif [ "$code" -ne 0 ]; then
        cat "$out"
        report_failure "$(basename "$program")"
    fi
    [ $ran -lt 0 ] && ran=0
    echo "$(basename "$program"): $ran passed"
    passed=$((passed + ran))
done

for script in tests/process/*.sh; do
    [ -f "$script" ] || continue
    [ "$(basename "$script")" = lib.sh ] && continue
    if timeout 180 bash "$script" "$build" >"$work/out" 2>&1; then
        echo "$script: passed"
        passed=$((passed + 1))
    else
        tail -60 "$work/out"
        report_failure "$script"
    fi
done

echo "$passed passed, $failed failed, $skipped skipped"
[ $failed -eq 0 ]
