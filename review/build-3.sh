#!/usr/bin/env bash
# Builds the stand-in that the cases 11 to 15 start. It needs no more than the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build/stand-3
mkdir -p build/stand-3
compilers=()
for source in stand-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "build/stand-3/$(basename "$source" .cpp).o" &
    compilers+=($!)
done
for compiler in "${compilers[@]}"; do
    wait "$compiler"
done
g++ build/stand-3/*.o -o build/stand-3/stand-3 -lboost_json -lpthread
