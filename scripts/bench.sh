#!/usr/bin/env bash
# bench.sh BUILD throughput|overload|recovery|overhead|control|refusals|endless
# Runs a benchmark against a local fleet with stand-in engines. The last line is "NAME key=value ...".
# Environment:
#   OUT       folder for the JSON results, plots and summaries (default: BUILD/bench-out)
#   POLICIES  choice policies that throughput compares
#   POLICY    choice policy during recovery (default: predicted)
#   CASES     cases of recovery to run (default: all)
#   NODES     numbers of instances that control measures, in increasing order
#   SHARES    parts of 100 that endpoints refuse in refusals (default: 0 5 16 100)
#   ROUNDS    how often refusals plays each of them, in turns (default: 1)
#   PLAY_S    how long each play of refusals lasts, in seconds (default: 15)
#   DAEMON    program of another build, which refusals plays beside this one, and endless in place of it
#   PLACES    where endless lets an endpoint send without end (default: field extension trailer body chunks event)
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
name=${2:-help}
out=${OUT:-$build/bench-out}
mkdir -p "$out"
. scripts/fleet.sh

# run_load NAME FLAGS...: runs the load tool; its JSON result, plot and summary go to OUT under this name.
run_load() {
    local run=$1
    shift
    "$build/bench/trefoil-load" --targets "$targets" --svg "$out/$run.svg" --summary "$out/$run.txt" "$@" >"$out/$run.json"
}

# summary_value RUN KEY: prints a value from the summary of a run, for example "summary_value overload-2 learners.whole"; 0 if the key is missing.
summary_value() {
    awk -v key="$2" '$1 == key { print $2; found = 1 } END { if (!found) print 0 }' "$out/$1.txt"
}

# calc EXPRESSION: prints the value of an arithmetic expression with three decimals.
calc() {
    awk "BEGIN { printf \"%.3f\", $1 }"
}

# use_policy POLICY [FIRST_TOKEN_MS]: sets the choice policy of the model "tutor" and its deadline for the first token, and waits until the change
# is in force.
use_policy() {
    printf 'models:\n  tutor: {policy: %s, first_token_ms: %s}\n' "$1" "${2:-5000}" >"$work/settings/30-bench.yaml"
    ctl apply "$work/settings" --platform "${address[platform]}" >/dev/null
    sleep 1
}

# start_bench_fleet STEPS...: starts three instances and, for each of the three stages, one engine per argument. Each argument is the duration of a
# decoding step in microseconds.
start_bench_fleet() {
    start_platform
    local n=0
    for step in "$@"; do
        n=$((n + 1))
        start_engine "front-$n" tutor 0 4 zone-a --step_us "$step" --capacity 24
        start_engine "middle-$n" tutor 4 8 zone-a --step_us "$step" --capacity 24
        start_engine "back-$n" tutor 8 12 zone-a --step_us "$step" --capacity 24
    done
    for zone in a b c; do start_instance "entry-$zone" "zone-$zone"; done
    write_settings
    ctl apply "$work/settings" --platform "${address[platform]}" >/dev/null
    wait_ready entry-a entry-b entry-c
    for name in entry-a entry-b entry-c; do wait_for "back-$n" ctl endpoints --instance "${address[$name]}"; done
    targets=$(instance_list entry-a entry-b entry-c)
}

# max_token_rate TOKENS WORDS STEPS...: prints the tokens per second that a stage with these engines generates at most, prefill included, for answers
# of TOKENS tokens and prompts of WORDS words. All stages are equal, so this is the limit of the whole pipeline.
max_token_rate() {
    local tokens=$1 words=$2
    shift 2
    awk -v tokens="$tokens" -v words="$words" -v steps="$*" 'BEGIN {
        n = split(steps, s, " "); capacity = 0
        for (i = 1; i <= n; i++) capacity += 1000000 / s[i]
        prefill = int((words + 2 + 7) / 8)      # steps of 8 prompt tokens: start token, "question", words
        printf "%.1f", capacity * tokens / (tokens - 1 + prefill)
    }'
}

# Measures the token rate of a saturated fleet as a ratio of max_token_rate, and the interactive requests that meet their deadline meanwhile, for each
# choice policy.
bench_throughput() {
    local steps="2000 4000 8000" line=throughput
    start_bench_fleet $steps
    local limit
    limit=$(max_token_rate 40 8 $steps)
    for policy in ${POLICIES:-round_robin least_connections random predicted}; do
        use_policy $policy 60000
        run_load "throughput-$policy" --seconds 20 --warmup 3 \
            --flows "name=batch,class=batch,rate=0,count=500,tokens=40;name=interactive,rate=4,tokens=16,deadline_ms=3000"
        local rate met
        rate=$(summary_value "throughput-$policy" tokens_per_second)
        met=$(summary_value "throughput-$policy" interactive.met)
        line="$line ratio_$policy=$(calc "$rate/$limit") interactive_met_$policy=$met"
    done
    echo "$line bound_tokens_per_s=$limit"
}

# Measures goodput and met deadlines at 0.9, 2 and 5 times max_token_rate, and the answered and timely requests of a team while another one
# overloads the fleet.
bench_overload() {
    local steps="2000 4000" line=overload
    start_bench_fleet $steps
    use_policy predicted 3000
    local limit
    limit=$(max_token_rate 20 8 $steps)
    for factor in 0.9 2 5; do
        run_load "overload-$factor" --seconds 12 --warmup 3 --flows "name=learners,rate=$(calc "$factor*$limit/20"),tokens=20,deadline_ms=3000"
        line="$line goodput_${factor}x=$(calc "$(summary_value "overload-$factor" tokens_per_second)/$limit")"
        line="$line met_of_answered_${factor}x=$(calc "$(summary_value "overload-$factor" learners.met)*$(summary_value "overload-$factor" learners.sent)/$(summary_value "overload-$factor" learners.whole)")"
    done
    # One team requests five times the maximum token rate; the other, of the same weight, a third of it.
    printf 'teams:\n  flood: {key_sha256: %s, weight: 2}\n' "$(sha256_of flood-key)" >"$work/settings/40-flood.yaml"
    use_policy predicted 3000
    run_load overload-flood --seconds 12 --warmup 3 \
        --flows "name=learners,rate=$(calc "$limit/60"),tokens=20,deadline_ms=3000;name=flood,key=flood-key,rate=$(calc "5*$limit/20"),tokens=20"
    line="$line others_whole_in_flood=$(calc "$(summary_value overload-flood learners.whole)/$(summary_value overload-flood learners.sent)")"
    line="$line others_met_in_flood=$(summary_value overload-flood learners.met)"
    echo "$line bound_tokens_per_s=$limit"
}

# recovery_run NAME SECONDS COMMAND...: runs the command four seconds after the start of a steady load. Adds to $line the longest gap between tokens,
# the longest time to the first token, the 95th percentile of the gaps, and the numbers of lost and wrong answers.
recovery_run() {
    local case_name=$1 seconds=$2
    [ -z "${CASES:-}" ] || grep -qw "$case_name" <<<"$CASES" || return 0
    shift 2
    run_load "recovery-$case_name" --seconds "$seconds" --flows "name=learners,rate=${rate:-20},tokens=50,deadline_ms=3000" &
    local load_pid=$!
    sleep 4
    "$@" >/dev/null
    wait $load_pid
    line="$line ${case_name}_gap_ms=$(summary_value "recovery-$case_name" learners.between_ms_max)"
    line="$line ${case_name}_first_ms=$(summary_value "recovery-$case_name" learners.first_ms_max)"
    line="$line ${case_name}_between_p95_ms=$(summary_value "recovery-$case_name" learners.between_ms_p95)"
    line="$line ${case_name}_lost=$(($(summary_value "recovery-$case_name" learners.sent) - $(summary_value "recovery-$case_name" learners.whole)))"
    line="$line ${case_name}_wrong=$(summary_value "recovery-$case_name" learners.wrong)"
}

# kill_zone NAME...: kills all these processes at the same time, as the loss of a zone does.
kill_zone() {
    for name in "$@"; do kill -KILL "${pid[$name]}"; done
    for name in "$@"; do
        wait "${pid[$name]}" 2>/dev/null || true
        unset "pid[$name]"
    done
}

# Measures the effect of failures on open streams, one failure at a time. The case "calm" has no failure.
bench_recovery() {
    line=recovery
    start_bench_fleet 2000 2000 2000
    use_policy "${POLICY:-predicted}" 5000
    recovery_run calm 8 true
    recovery_run stage_killed 10 kill_now middle-1
    [ -n "${pid[middle-1]:-}" ] || start_engine middle-1 tutor 4 8 zone-a --step_us 2000 --capacity 24
    sleep 2
    recovery_run stage_frozen 12 kill -STOP "${pid[middle-2]}"
    kill -CONT "${pid[middle-2]}"
    sleep 2
    # Two of the three engines of a stage suffice for this rate, so that the slow one need not be used.
    rate=10
    recovery_run link_degraded 12 curl -sf -d 200 "http://${address[middle-3]}/control/delay"
    curl -sf -d 0 "http://${address[middle-3]}/control/delay" >/dev/null
    sleep 2
    rate=20
    recovery_run store_out 30 curl -sf -d '{"mode":"down"}' "http://${address[platform]}/faults"
    curl -sf -d '{"mode":"ok"}' "http://${address[platform]}/faults" >/dev/null
    sleep 2
    recovery_run zone_killed 10 kill_zone front-3 middle-3 back-3 entry-b
    recovery_run instance_killed 10 kill_now entry-c
    echo "$line"
}

# cpu_ticks NAME: prints the user and system time of a process in hundredths of a second.
cpu_ticks() {
    awk '{ print $14 + $15 }' "/proc/${pid[$1]}/stat"
}

# rss_kb NAME: prints the resident memory of a process in kilobytes.
rss_kb() {
    awk '/VmRSS/ { print $2 }' "/proc/${pid[$1]}/status"
}

# Compares requests through an instance with requests straight to the engines, and measures processor time per token and memory per open request.
bench_overhead() {
    start_platform
    for stage in "front 0 4" "middle 4 8" "back 8 12"; do
        set -- $stage
        start_engine "$1-1" tutor "$2" "$3" zone-a --step_us 200 --capacity 256
    done
    start_instance entry-a zone-a
    write_settings
    ctl apply "$work/settings" --platform "${address[platform]}" >/dev/null
    wait_ready entry-a
    wait_for back-1 ctl endpoints --instance "${address[entry-a]}"
    targets=${address[entry-a]}
    local flow="name=f,rate=4,tokens=200,deadline_ms=5000"
    run_load overhead-direct --seconds 10 --flows "$flow" --direct "${address[platform]}"
    run_load overhead-routed --seconds 10 --flows "$flow"
    local before after
    before=$(cpu_ticks entry-a)
    run_load overhead-busy --seconds 10 --flows "name=f,rate=16,tokens=200,deadline_ms=5000"
    after=$(cpu_ticks entry-a)
    local tokens
    tokens=$(summary_value overhead-busy f.tokens)
    local idle_kb peak_kb=0 now_kb
    idle_kb=$(rss_kb entry-a)
    run_load overhead-open --seconds 1 --flows "name=f,class=batch,rate=0,count=1000,tokens=5" &
    local load_pid=$!
    while kill -0 $load_pid 2>/dev/null; do
        now_kb=$(rss_kb entry-a)
        [ "$now_kb" -le $peak_kb ] || peak_kb=$now_kb
        sleep 0.05
    done
    wait $load_pid
    echo "overhead between_p50_ms=$(summary_value overhead-direct f.between_ms_p50)->$(summary_value overhead-routed f.between_ms_p50)" \
        "added_p95_ms=$(calc "$(summary_value overhead-routed f.between_ms_p95)-$(summary_value overhead-direct f.between_ms_p95)")" \
        "first_p50_ms=$(summary_value overhead-direct f.first_ms_p50)->$(summary_value overhead-routed f.first_ms_p50)" \
        "cpu_us_per_token=$(calc "($after-$before)*10000/$tokens") tokens_per_s_per_core=$(calc "$tokens/(($after-$before)/100)")" \
        "kb_per_open_call=$(calc "($peak_kb-$idle_kb)/1000")"
}

# metric INSTANCE NAME: prints the value of a metric.
metric() {
    curl -s "http://${address[$1]}/metrics" | sed -n "s/^$2 //p"
}

# Measures what an idle instance costs for growing numbers of instances: processor time, memory, mesh traffic and calls to the platform, and the time
# to apply a change of the configuration.
bench_control() {
    local line=control seconds=15
    start_platform
    for n in 1 2 3 4 5 6 7 8 9 10; do start_service "service-$n" booking zone-a; done
    write_settings
    local started=0
    for nodes in ${NODES:-4 16 64}; do
        while [ $started -lt "$nodes" ]; do
            started=$((started + 1))
            start_instance "entry-$started" "zone-$((started % 22))"
        done
        ctl apply "$work/settings" --platform "${address[platform]}" --wait_ms 60000 >/dev/null
        sleep 8
        local before after mesh_bytes api_calls
        before=$(cpu_ticks entry-1)
        mesh_bytes=$(($(metric entry-1 trefoilport_mesh_sent_bytes_total) + $(metric entry-1 trefoilport_mesh_received_bytes_total)))
        api_calls=$(curl -s "http://${address[platform]}/stats" | tr -dc '0-9,' | tr ',' '+')
        sleep $seconds
        after=$(cpu_ticks entry-1)
        mesh_bytes=$(($(metric entry-1 trefoilport_mesh_sent_bytes_total) + $(metric entry-1 trefoilport_mesh_received_bytes_total) - mesh_bytes))
        api_calls=$(($(curl -s "http://${address[platform]}/stats" | tr -dc '0-9,' | tr ',' '+') - ($api_calls)))
        local apply_start
        apply_start=$(date +%s%N)
        printf 'models:\n  tutor: {first_token_ms: %s}\n' $((2000 + nodes)) >"$work/settings/30-bench.yaml"
        ctl apply "$work/settings" --platform "${address[platform]}" --wait_ms 60000 >/dev/null
        line="$line nodes=$nodes cpu_percent=$(calc "($after-$before)/$seconds") mesh_bytes_per_s=$(calc "$mesh_bytes/$seconds")"
        line="$line rss_mb=$(calc "$(rss_kb entry-1)/1024") api_calls_per_node_s=$(calc "$api_calls/$seconds/$nodes")"
        line="$line apply_ms=$(calc "($(date +%s%N)-$apply_start)/1000000")"
    done
    echo "$line"
}

# median NUMBER...: prints the median of the numbers, the lower one of the two in the middle.
median() {
    printf '%s\n' "$@" | sort -n | sed -n "$((($# + 1) / 2))p"
}

# Measures what callers get, and endpoints are sent, if the endpoints refuse a share of the requests at random. Builds, shares and rounds take turns.
bench_refusals() {
    local line=refusals rounds=${ROUNDS:-1} shares=${SHARES:-0 5 16 100} round share label
    declare -A daemons=([this]=$build/programs/trefoilportd/trefoilportd)
    [ -z "${DAEMON:-}" ] || daemons[other]=$DAEMON
    rm -f "$out"/refusals-{this,other}-*.txt
    for round in $(seq 1 "$rounds"); do
        for share in $shares; do
            for label in "${!daemons[@]}"; do
                "$build/platform/trefoilRefusals" --daemon "${daemons[$label]}" --refused "$share" --seconds "${PLAY_S:-15}" --seed "$round" \
                    >>"$out/refusals-$label-$share.txt"
                echo "round $round $label $(tail -1 "$out/refusals-$label-$share.txt")"
            done
        done
    done
    local key values
    for label in "${!daemons[@]}"; do
        for share in $shares; do
            for key in whole refused failed; do
                values=$(sed -n "s/.* $key=\([0-9]*\).*/\1/p" "$out/refusals-$label-$share.txt")
                # shellcheck disable=SC2086
                line="$line ${label}_${share}_$key=$(median $values)"
            done
            # The endpoint with the most arrivals of a play.
            values=$(sed -n 's/.* arrivals_per_s=\([0-9,]*\).*/\1/p' "$out/refusals-$label-$share.txt" | while IFS=, read -r a b c; do printf '%s\n' "$a" "$b" "$c" | sort -n | tail -1; done)
            # shellcheck disable=SC2086
            line="$line ${label}_${share}_max_arrivals_per_s=$(median $values)"
        done
    done
    echo "$line"
}

# Plays an endpoint that sends without end beside three sound ones, before three instances, once for each place in an answer. Prints the requests that were
# served, how those ended that met it, and the most memory that each instance had resident, in MB.
bench_endless() {
    local place line=endless figures
    for place in ${PLACES:-field extension trailer body chunks event}; do
        "$build/platform/trefoilEndless" --daemon "${DAEMON:-$build/programs/trefoilportd/trefoilportd}" --place "$place" --seconds "${PLAY_S:-8}" \
            | tee "$out/endless-$place.txt"
        figures=$(sed 's/ peak_mb=\([0-9]*\),\([0-9]*\),\([0-9]*\)/ peak_a_mb=\1 peak_b_mb=\2 peak_c_mb=\3/' "$out/endless-$place.txt")
        line="$line $(tr ' ' '\n' <<<"$figures" | grep -v '^place=' | sed "s/^/${place}_/" | tr '\n' ' ')"
    done
    echo "$line"
}

case $name in
throughput | overload | recovery | overhead | control | refusals | endless) "bench_$name" ;;
*)
    echo "usage: bench.sh BUILD throughput|overload|recovery|overhead|control|refusals|endless" >&2
    exit 1
    ;;
esac
