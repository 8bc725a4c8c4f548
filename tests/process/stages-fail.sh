#!/usr/bin/env bash
# Guards against damaged streams when an engine fails: an engine of each stage in turn is killed during a stream, then one is stopped, and each
# stream must be complete. Also checks that a prompt that crashes engines is quarantined before it has crashed all of them.
. "$(dirname "$0")/lib.sh"
start_fleet

for stage in front middle back; do
    prompt="walk through the $stage"
    stream_completion entry-a tutor "$prompt" 400 >"$work/stream" &
    stream_pid=$!
    wait_tokens "$work/stream" 20
    engine=$(busy_engine $stage)
    kill_now "$engine"
    wait $stream_pid
    check_stream "$work/stream" "$prompt" 400
    case $stage in front) first=0 ;; middle) first=4 ;; back) first=8 ;; esac
    start_engine "$engine" tutor $first $((first + 4)) zone-a
    wait_for "$stage" ctl endpoints --instance "${address[entry-a]}"
    until request_completion entry-a tutor warm 1 >/dev/null && [ "$(ctl endpoints --json --instance "${address[entry-a]}" | grep -c '"state":"suspect"')" = 0 ]; do :; done
done

prompt="freeze the middle"
stream_completion entry-b tutor "$prompt" 400 >"$work/stream" &
stream_pid=$!
wait_tokens "$work/stream" 20
engine=$(busy_engine middle)
kill -STOP "${pid[$engine]}"
wait $stream_pid
check_stream "$work/stream" "$prompt" 400
kill -CONT "${pid[$engine]}"

for spare in 3 4; do start_engine "front-$spare" tutor 0 4 zone-a; done
wait_for front-4 ctl endpoints --instance "${address[entry-a]}"
wait_for front-4 ctl endpoints --instance "${address[entry-b]}"
request_completion entry-a tutor "CRASH-STAGE-0 now" 5 >"$work/crashing"
grep -q endpoints_crashed "$work/crashing" || fail "the crashing request was answered: $(cat "$work/crashing")"
wait_for request_quarantined request_completion entry-b tutor "CRASH-STAGE-0 now" 5
request_completion entry-c tutor "a harmless prompt" 5 | grep -q '"finish_reason":"length"' || fail "a harmless request was not answered"
crashed=0
for n in 1 2 3 4; do kill -0 "${pid[front-$n]}" 2>/dev/null || crashed=$((crashed + 1)); done
[ $crashed -le 3 ] || fail "$crashed engines crashed"
echo "stages-fail passed"
