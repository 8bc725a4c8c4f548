#!/usr/bin/env bash
# Builds, checks, tests, demonstrates and benchmarks trefoilport. `./build.sh help` lists the commands.
# Environment: BUILD_DIR is the build directory (default: build), JOBS the number of parallel jobs (default: one per processor).
set -euo pipefail
cd "$(dirname "$0")"
root=$PWD
build=${BUILD_DIR:-$root/build}
jobs=${JOBS:-$(nproc)}
# Lets the compiler's cache serve every checkout, wherever it is.
export CCACHE_BASEDIR=$root CCACHE_NOHASHDIR=1

# Lists the C++ sources, without the generated ones.
sources() {
    git ls-files '*.cpp' '*.h' | grep -v '/generated/'
}

# Installs the Debian packages of scripts/packages.txt that are missing.
install_packages() {
    local missing
    missing=$(while read -r package; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || echo "$package"
    done <scripts/packages.txt)
    [ -z "$missing" ] && return
    local sudo=
    [ "$(id -u)" = 0 ] || sudo=sudo
    $sudo apt-get update -qq
    # shellcheck disable=SC2086
    DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq --no-install-recommends $missing >/dev/null
}

compile() {
    install_packages
    cmake -S . -B "$build" -G Ninja >/dev/null
    cmake --build "$build" -j "$jobs" -- --quiet
}

# Builds, then runs every test program and the process tests. The last line counts single tests.
run_tests() {
    compile
    bash scripts/run-tests.sh "$build"
}

run_spec() {
    install_packages
    bash scripts/run-spec.sh
}

# Checks the sources with the formatter and the linter, without changing them.
run_check() {
    install_packages
    sources | xargs clang-format --dry-run --Werror
    # clang-tidy can't read GCC's precompiled headers, so it gets a build configuration without them.
    cmake -S . -B "$build/lint" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
    local log
    log=$(mktemp)
    # The largest files come first, so that no long one is left over at the end.
    if ! sources | grep '\.cpp$' | xargs ls -S | xargs -P "$jobs" -n 1 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build/lint" >"$log" 2>&1; then
        grep -E 'error:|warning:' "$log"
        return 1
    fi
}

case "${1:-help}" in
build) compile ;;
test) run_tests ;;
spec) run_spec ;;
check) run_check ;;
format) sources | xargs clang-format -i ;;
generate) protoc --proto_path=libs/wire/src --cpp_out=libs/wire/src/generated Records.proto ;;
demo) compile && shift && exec bash scripts/demo.sh "$build" "$@" ;;
soak) compile && shift && exec bash scripts/soak.sh "$build" "$@" ;;
mutants) install_packages && shift && bash scripts/mutants.sh "$@" ;;
bench) compile && shift && exec bash scripts/bench.sh "$build" "$@" ;;
*)
    cat <<'HELP'
./build.sh build            installs missing packages and builds everything into build/
./build.sh test             builds and runs every test; last line: N passed, N failed
./build.sh spec             checks the protocol models, and that each of their mutants is refuted
./build.sh check            checks the sources with the formatter and the linter
./build.sh demo [--keep]    starts a small fleet, sends requests to it and stops it; --keep leaves it running until Ctrl-C
./build.sh bench NAME       runs a benchmark: throughput, overload, recovery, overhead, control, refusals or endless
./build.sh soak [SEEDS]     runs real instances under injected faults; SEEDS are numbers or ranges (7 or 1-50). OLDER=COMMIT builds an earlier
                            commit from the history, by which instances are replaced one after the other, and back
./build.sh mutants [REGEX]  introduces one fault at a time into the code and requires the tests to notice each
./build.sh format           formats the sources in place
./build.sh generate         regenerates the committed protobuf code
HELP
    ;;
esac
