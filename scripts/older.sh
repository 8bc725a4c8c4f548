#!/usr/bin/env bash
# older.sh BUILD COMMIT [TARGET]
# Builds a program of an earlier commit from the repository's history in BUILD/older/COMMIT, and prints its path. The default is the daemon; trefoilRecorder
# is built from today's sources of the recorder with the libraries of that commit.
# Environment: JOBS is the number of parallel jobs (default: one per processor).
set -euo pipefail
cd "$(dirname "$0")/.."
commit=$(git rev-parse --short=7 "$2^{commit}")
target=${3:-trefoilportd}
source=$1/older/$commit/source
# Several seeds of a soak may ask for the same commit at once.
mkdir -p "$1/older"
exec 9>"$1/older/$commit.lock"
flock 9
if [ ! -d "$source" ]; then
    mkdir -p "$source.new"
    git archive "$commit" | tar -x -C "$source.new"
    mv "$source.new" "$source"
fi
rm -rf "$source/testing/recorder"
mkdir -p "$source/testing"
cp -r testing/recorder "$source/testing/recorder"
grep -q 'testing/recorder' "$source/CMakeLists.txt" || echo 'add_subdirectory(testing/recorder)' >>"$source/CMakeLists.txt"
# Compiled objects can be shared by the cache with those of other folders of sources.
source=$(cd "$source" && pwd)
export CCACHE_BASEDIR=$source CCACHE_NOHASHDIR=1
cmake -S "$source" -B "$source/build" -G Ninja >&2
cmake --build "$source/build" -j "${JOBS:-$(nproc)}" --target "$target" -- --quiet >&2
find "$source/build" -type f -perm -u+x -name "$target"
