# Functions shared by the process tests, each of which gets the build directory as its argument.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
build=$1
. scripts/fleet.sh

fail() {
    echo "FAILED: $*" >&2
    exit 1
}

# start_fleet [SETTING LINES...]: starts three instances with these extra settings, and two copies of each endpoint: the engines front, middle
# and back, which form the stages of the model "tutor", and the services booking and timetable. Returns once the instances are ready and
# list the endpoints.
start_fleet() {
    start_platform
    for copy in 1 2; do
        start_engine "front-$copy" tutor 0 4 zone-a
        start_engine "middle-$copy" tutor 4 8 zone-b
        start_engine "back-$copy" tutor 8 12 zone-c
        start_service "booking-$copy" booking zone-a
        start_service "timetable-$copy" timetable zone-a
    done
    for zone in a b c; do start_instance "entry-$zone" "zone-$zone" "$@"; done
    write_settings
    ctl apply "$work/settings" --platform "${address[platform]}" --wait_ms 30000 >/dev/null
    wait_ready entry-a entry-b entry-c
    for name in entry-a entry-b entry-c; do
        for endpoint in back-1 back-2 booking-2 timetable-2; do wait_for "$endpoint" ctl endpoints --instance "${address[$name]}"; done
    done
}

# check_stream FILE PROMPT TOKENS: fails unless the stream in the file is complete and has the expected text.
check_stream() {
    local text
    text=$(text_of <"$1")
    [ "$text" = "$(expected_text tutor 12 "$2" "$3")" ] || fail "wrong text for '$2': $text"
    grep -q '^data: \[DONE\]' "$1" || fail "no end marker for '$2'"
}

# tokens_in FILE: prints the number of tokens in the stream so far.
tokens_in() {
    grep -c '"text":" ' "$1" || true
}

# wait_tokens FILE COUNT: waits until the stream in the file has that many tokens.
wait_tokens() {
    local tries=0
    until [ "$(tokens_in "$1")" -ge "$2" ]; do
        tries=$((tries + 1))
        [ $tries -lt 3000 ] || fail "the stream in $1 did not reach $2 tokens"
        sleep 0.01
    done
}

# busy_engine STAGE: prints the engine of the stage (front, middle or back) that is working on a request.
busy_engine() {
    local tries=0
    while [ $tries -lt 500 ]; do
        for copy in 1 2; do
            if curl -sf "http://${address[$1-$copy]}/load" | grep -q '"in_flight":[1-9]'; then echo "$1-$copy"; return; fi
        done
        tries=$((tries + 1))
    done
    fail "no busy $1"
}

# set_faults JSON: makes the platform stand-in fail as described, for example {"mode":"down"}; {"mode":"ok"} ends all faults.
set_faults() {
    curl -sf "http://${address[platform]}/faults" -d "$1" >/dev/null
}

# book INSTANCE IDEMPOTENCY-KEY BODY: sends a booking and prints the answer.
book() {
    curl -s -m 30 -H "Authorization: Bearer $api_key" -H "Idempotency-Key: $2" -d "$3" "http://${address[$1]}/booking/seats"
}

# times_run BODY: prints how often the running booking services have executed bookings with this body.
times_run() {
    local sum=0 count
    for copy in 1 2; do
        [ -n "${pid[booking-$copy]:-}" ] || continue
        count=$(curl -sf "http://${address[booking-$copy]}/executed" | sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p")
        sum=$((sum + ${count:-0}))
    done
    echo $sum
}
