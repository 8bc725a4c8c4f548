# Plays the load of `./build.sh bench refusals` for a moment, beside another build's program, so that it can be run when it is needed.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
OUT=$out DAEMON=$1/programs/trefoilportd/trefoilportd SHARES="0 100" PLAY_S=1 bash scripts/bench.sh "$1" refusals >"$out/lines"
cat "$out/lines"
summary=$(tail -1 "$out/lines")
for build in this other; do
    grep -qE " ${build}_0_whole=[1-9][0-9]* ${build}_0_refused=0 " <<<"$summary"
    grep -qE " ${build}_100_whole=0 ${build}_100_refused=[1-9][0-9]* ${build}_100_failed=0 ${build}_100_max_arrivals_per_s=[1-9]" <<<"$summary"
done
