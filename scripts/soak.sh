#!/usr/bin/env bash
# soak.sh BUILD [SEED | FIRST-LAST]...
# Soak test: runs real instances against stand-ins of the users' platform, with faulty links, signals, restarts and outages. The seed determines
# the schedule of the faults; the default is seeds 1-50.
# Environment:
#   AT_ONCE            number of seeds that run in parallel, with three instances each (default: 12)
#   SECONDS_OF_FAULTS  how long faults are injected (default: 20)
#   HUSH               1: engines fall silent while the configuration changes, in place of the other faults
#   OLDER              an earlier commit: instances start from either build and are replaced by the other one after the other, forward and back. It is
#                      built from the history into BUILD/older.
set -uo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
at_once=${AT_ONCE:-12}
seconds=${SECONDS_OF_FAULTS:-20}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
older_arguments=
if [ -n "${OLDER:-}" ]; then
    older_arguments="--older_daemon $(bash scripts/older.sh "$build" "$OLDER")" || exit 1
fi
hush_argument=
[ "${HUSH:-0}" = 1 ] && hush_argument=--hush
export build seconds work older_arguments hush_argument

run_seed() {
    # shellcheck disable=SC2086
    if "$build/platform/trefoilSoak" --daemon "$build/programs/trefoilportd/trefoilportd" --seed "$1" --seconds "$seconds" $hush_argument $older_arguments >"$work/$1" 2>&1; then
        tail -2 "$work/$1"
        touch "$work/$1.passed"
    else
        echo "FAILED seed $1"
        cat "$work/$1"
    fi
}
export -f run_seed

for seeds in "${@:-1-50}"; do
    seq "${seeds%-*}" "${seeds#*-}"
done >"$work/seeds"
xargs -P "$at_once" -I{} bash -c 'run_seed {}' <"$work/seeds"
passed=$(find "$work" -name '*.passed' | wc -l)
echo "$passed of $(wc -l <"$work/seeds") seeds passed"
[ "$passed" -eq "$(wc -l <"$work/seeds")" ]
