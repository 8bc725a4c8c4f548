#!/usr/bin/env bash
# Runs the case whose folder is the first argument. Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
number=$1
program=$PWD/target/programs/trefoilportd/trefoilportd
stand=review/build/case$number
[ -x "$program" ] || { echo "no $program: build as deploy/system.toml says" >&2; exit 2; }
[ -x "$stand" ] || { echo "no $stand: run review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 2 115 "$stand" "$program" "$folder" "review/$number/record.txt"
code=$?
if [ -e "$folder/pids" ] && [ $code -ne 0 ] && [ $code -ne 1 ]; then
    # The stand-in was ended from outside. Only processes that still have the program's name are those that it started.
    while read -r pid; do
        [ "$(readlink "/proc/$pid/exe")" = "$program" ] && kill -KILL "$pid"
    done <"$folder/pids"
fi
rm -rf "$folder"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
