#!/usr/bin/env bash
# Builds, tests and shows trefoilport. `./build.sh help` lists the commands.
set -euo pipefail
cd "$(dirname "$0")"
root=$PWD
build=${BUILD_DIR:-$root/build}
jobs=${JOBS:-$(nproc)}

sources() {
    git ls-files '*.cpp' '*.h' | grep -v '/generated/'
}

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

# Runs every test program and the process tests; the closing line counts single tests.
run_tests() {
    compile
    bash scripts/run-tests.sh "$build"
}

run_spec() {
    install_packages
    bash scripts/run-spec.sh
}

# Formatter and linter; nothing is changed.
run_check() {
    install_packages
    sources | xargs clang-format --dry-run --Werror
    # The linter can't read the compiler's precompiled headers.
    cmake -S . -B "$build/lint" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
    local log
    log=$(mktemp)
    if ! sources | grep '\.cpp$' | xargs -P "$jobs" -n 1 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build/lint" >"$log" 2>&1; then
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
./build.sh build            installs what is missing and builds everything into build/
./build.sh test             builds and runs every test; last line: N passed, N failed
./build.sh spec             checks the protocol models, and that each mutant is refuted
./build.sh check            formatter and linter
./build.sh demo [--keep]    starts a small fleet, uses it and stops it; --keep leaves it up
./build.sh bench NAME       throughput, overload, recovery, overhead or control
./build.sh soak [SEEDS]     real instances under faults from outside; seeds as 7 or 1-50
./build.sh mutants          breaks the kernel on purpose and requires its tests to notice
./build.sh format           formats the sources in place
./build.sh generate         makes the committed protobuf code anew
HELP
    ;;
esac
