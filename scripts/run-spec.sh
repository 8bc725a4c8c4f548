#!/usr/bin/env bash
# Checks each protocol model in spec/ with Spin: the model must hold in its complete state space, and each of its mutants must be refuted.
set -uo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
# search MODEL [MACRO]: searches the model, or the mutant that the macro selects, and prints "holds", "refuted" or "incomplete".
search() {
    local model=$PWD/spec/$1.pml macro=${2:-}
    local folder=$work/$1-${macro:-model}
    mkdir -p "$folder"
    (
        cd "$folder" || exit 1
        spin -a ${macro:+-D$macro} "$model" >spin.out 2>&1 || exit 1
        gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -w -o pan pan.c || exit 1
        # Stops at the first violation, which is enough to refute a mutant; a model without a violation is searched completely.
        # -E: a process may end or wait in any state.
        ./pan -m1000000 -w24 -E >pan.out 2>&1
    )
    if grep -q 'assertion violated\|pan:1:' "$folder/pan.out"; then
        echo refuted
    elif grep -q 'max search depth too small\|out of memory\|Search not completed' "$folder/pan.out" || ! grep -q 'errors: 0' "$folder/pan.out"; then
        echo incomplete
    else
        echo holds
    fi
}

# expect RESULT MODEL [MACRO]: runs the search and prints its result and number of states, or the difference from the expected result.
expect() {
    local expected=$1
    shift
    local result
    result=$(search "$@")
    local states
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/$1-${2:-model}/pan.out" 2>/dev/null)
    if [ "$result" = "$expected" ]; then
        echo "$* : $result (${states:-?} states)"
    else
        echo "$* : $result, expected $expected"
        tail -20 "$work/$1-${2:-model}"/*.out
    fi
}

# Lists every search as a line "RESULT MODEL [MACRO]" with the expected result. The head comment of each model lists its mutants.
list_searches() {
    for model in spec/*.pml; do
        local name
        name=$(basename "$model" .pml)
        echo "holds $name"
        sed -n '/^ \* Mutants/,/\*\//p' "$model" | sed -n 's/^ \*   \([A-Z_]*\) .*/\1/p' | sed "s/^/refuted $name /"
    done
}

while read -r expected name mutant; do
    expect "$expected" "$name" $mutant >"$work/result-$name-$mutant" &
    # At most two searches run at the same time, so that their memory suffices on a small machine.
    while [ "$(jobs -rp | wc -l)" -ge 2 ]; do wait -n || true; done
done < <(list_searches)
wait
cat "$work"/result-*
passed=$(cat "$work"/result-* | grep -c ' : .* states)$')
failed=$(cat "$work"/result-* | grep -c ', expected ')
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
