#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2. Needs g++ and the headers of libboost-json1.81-dev, as the deploy file names them.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -g -Wall -Wextra -c review/stand-2/Stand.cpp -o "$out/Stand.o"
for source in review/stand-2/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = Stand ] && continue
    g++ -std=c++20 -O1 -g -Wall -Wextra "$source" "$out/Stand.o" -o "$out/$name" -pthread
done
echo "built in $out"
