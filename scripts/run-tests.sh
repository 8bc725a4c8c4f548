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

for program in "$build"/tests/*Tests; do
    [ -x "$program" ] || continue
    "$program" -v >"$work/out" 2>&1
    code=$?
    ran=$(grep -oE '[0-9]+ ran' "$work/out" | tail -1 | cut -d' ' -f1)
    ran=${ran:-0}
    failures=$(grep -o 'Failure in TEST(.*)' "$work/out" | sort -u | sed 's/Failure in //')
    if [ -n "$failures" ]; then
        cat "$work/out"
        while read -r name; do report_failure "$(basename "$program") $name"; done <<<"$failures"
        ran=$((ran - $(grep -c . <<<"$failures")))
    elif [ $code -ne 0 ]; then
        cat "$work/out"
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
