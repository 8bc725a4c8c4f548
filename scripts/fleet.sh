# Functions that start, use and stop a small fleet on free loopback ports. Sourced by demo.sh, bench.sh and the process tests, from the root
# of the tree and with the build directory in $build. When the script exits, every process that was started here is killed by its id.

# Temporary folder for the settings and the output of the processes.
work=$(mktemp -d)
# Process id and address (IP:port) of each running process, by its name.
declare -A pid=() address=()
api_key=demo-key
operator_key=operator-key
export TREFOIL_OPERATOR_KEY=$operator_key

sha256_of() {
    printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

# start_process NAME COMMAND...: runs the command in the background and waits until it prints "listening ADDRESS".
start_process() {
    local name=$1
    shift
    # The output of an earlier process of that name must not be taken for that of the new one.
    : >"$work/$name.out"
    "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pid[$name]=$!
    local tries=0
    while ! grep -q '^listening ' "$work/$name.out"; do
        tries=$((tries + 1))
        if [ $tries -gt 1000 ] || ! kill -0 "${pid[$name]}" 2>/dev/null; then
            echo "$name did not start" >&2
            cat "$work/$name.err" >&2
            return 1
        fi
        sleep 0.02
    done
    address[$name]=$(sed -n 's/^listening \([^ ]*\).*/\1/p' "$work/$name.out")
}

# start_platform [FLAGS...]: starts the stand-in of the platform.
start_platform() {
    start_process platform "$build/standins/standin-platform" "$@"
}

# start_engine NAME MODEL FIRST END ZONE [FLAGS...]: starts a stand-in engine that holds the layers from FIRST up to, but not including, END.
start_engine() {
    local name=$1 model=$2 first=$3 end=$4 zone=$5
    shift 5
    start_process "$name" "$build/standins/standin-engine" --platform "${address[platform]}" --id "$name" --model "$model" \
        --first_layer "$first" --end_layer "$end" --zone "$zone" "$@"
}

# start_service NAME SERVICE ZONE [FLAGS...]: starts a stand-in service.
start_service() {
    local name=$1 serves=$2 zone=$3
    shift 3
    start_process "$name" "$build/standins/standin-service" --platform "${address[platform]}" --id "$name" --serves "$serves" --zone "$zone" "$@"
}

# start_instance NAME ZONE [SETTING LINES...]: starts trefoilportd with these extra lines in its settings and registers it with the platform.
start_instance() {
    local name=$1 zone=$2
    shift 2
    {
        echo "id: $name"
        echo "zone: $zone"
        echo "platform: ${address[platform]}"
        echo "operator_key_sha256: $(sha256_of "$operator_key")"
        for line in "$@"; do echo "$line"; done
    } >"$work/$name.yaml"
    start_process "$name" "$build/programs/trefoilportd/trefoilportd" --settings "$work/$name.yaml"
    local mesh
    mesh=$(sed -n 's/^listening .* mesh //p' "$work/$name.out")
    curl -sf -X POST "http://${address[platform]}/register" \
        -d "{\"kind\":\"instance\",\"id\":\"$name\",\"zone\":\"$zone\",\"mesh\":\"$mesh\",\"address\":\"${address[$name]}\"}" >/dev/null
}

# Copies the sample settings to $work/settings and fills in the hash of the API key.
write_settings() {
    mkdir -p "$work/settings"
    sed "s/@KEY@/$(sha256_of "$api_key")/" samples/settings/10-base.yaml >"$work/settings/10-base.yaml"
    cp samples/settings/20-override.yaml "$work/settings/"
}

# ctl ARGUMENTS...: runs trefoilctl.
ctl() {
    "$build/programs/trefoilctl/trefoilctl" "$@"
}

# instance_list NAME...: prints the addresses of the instances, separated by commas.
instance_list() {
    local list=
    for name in "$@"; do list="$list,${address[$name]}"; done
    echo "${list#,}"
}

# wait_ready NAME...: waits until /readyz of each instance reports it as ready.
wait_ready() {
    for name in "$@"; do
        local tries=0
        until curl -sf -o /dev/null "http://${address[$name]}/readyz"; do
            tries=$((tries + 1))
            [ $tries -lt 1500 ] || { echo "$name did not become ready" >&2; return 1; }
            sleep 0.02
        done
    done
}

# wait_for TEXT COMMAND...: repeats the command until its output contains the text.
wait_for() {
    local text=$1 tries=0
    shift
    until "$@" 2>/dev/null | grep -qF -- "$text"; do
        tries=$((tries + 1))
        [ $tries -lt 1500 ] || { echo "timeout: '$text' did not appear in the output of: $*" >&2; "$@" >&2; return 1; }
        sleep 0.02
    done
}

# request_completion INSTANCE MODEL PROMPT TOKENS [CURL FLAGS...]: requests a completion without streaming and prints the answer.
request_completion() {
    local instance=$1 model=$2 prompt=$3 tokens=$4
    shift 4
    curl -s -m 60 "$@" "http://${address[$instance]}/v1/completions" -H "Authorization: Bearer $api_key" \
        -d "{\"model\":\"$model\",\"prompt\":\"$prompt\",\"max_tokens\":$tokens}"
}

# stream_completion INSTANCE MODEL PROMPT TOKENS: requests a streamed completion and prints its events as they arrive.
stream_completion() {
    curl -sN -m 60 "http://${address[$1]}/v1/completions" -H "Authorization: Bearer $api_key" \
        -d "{\"model\":\"$2\",\"prompt\":\"$3\",\"max_tokens\":$4,\"stream\":true}"
}

# text_of: reads the events of a stream from standard input and prints their text.
text_of() {
    sed -n 's/^data: .*"text":"\([^"]*\)".*/\1/p' | tr -d '\n'
}

# expected_text MODEL LAYERS PROMPT TOKENS: prints the text that a correct pipeline generates.
expected_text() {
    "$build/bench/trefoil-expect" --model "$1" --layers "$2" --prompt "$3" --tokens "$4"
}

# stop_gracefully NAME...: sends SIGTERM to the processes and waits for them; fails if any ends with an error.
stop_gracefully() {
    for name in "$@"; do kill -TERM "${pid[$name]}"; done
    local result=0
    for name in "$@"; do
        wait "${pid[$name]}" || { echo "$name ended with an error" >&2; tail -5 "$work/$name.err" >&2; result=1; }
        unset "pid[$name]"
    done
    return $result
}

# kill_now NAME: kills the process with SIGKILL and waits for its end.
kill_now() {
    kill -KILL "${pid[$1]}"
    wait "${pid[$1]}" 2>/dev/null || true
    unset "pid[$1]"
}

# Kills all running processes, including those stopped by SIGSTOP, and deletes the temporary folder.
cleanup_fleet() {
    for name in "${!pid[@]}"; do
        kill -CONT "${pid[$name]}" 2>/dev/null || true
        kill -KILL "${pid[$name]}" 2>/dev/null || true
        wait "${pid[$name]}" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap cleanup_fleet EXIT
