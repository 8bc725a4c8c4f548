#!/usr/bin/env bash
# record-messages.sh BUILD COMMIT
# Records for the tests what a landing sends and stores (testing/recorded/COMMIT/sent.txt), its schema, and what it reads from what the current sources
# send and store (read.txt). docs/UPGRADES.md says when.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --short=7 "$2^{commit}")
recorder=$(bash scripts/older.sh "$1" "$commit" trefoilRecorder)
folder=testing/recorded/$commit
mkdir -p "$folder"
"$recorder" schema >"$folder/schema.txt"
"$recorder" messages >"$folder/sent.txt"
"$1/testing/recorder/trefoilRecorder" messages | "$recorder" read >"$folder/read.txt"
