#!/usr/bin/env bash
# Guards against streams that are cut off by a shutdown and against work for draining engines. Two instances get SIGTERM at the same time, each
# with an open stream and while the store is down, and must finish their streams. An engine that is drained gets no new requests, also from an
# instance that starts later.
. "$(dirname "$0")/lib.sh"
start_fleet

stream_completion entry-a tutor "stop a" 600 >"$work/a" &
first_pid=$!
stream_completion entry-b tutor "stop b" 600 >"$work/b" &
second_pid=$!
wait_tokens "$work/a" 10
wait_tokens "$work/b" 10
set_faults '{"mode":"down"}'
kill -TERM "${pid[entry-a]}" "${pid[entry-b]}"
wait $first_pid $second_pid
check_stream "$work/a" "stop a" 600
check_stream "$work/b" "stop b" 600
stop_gracefully entry-a entry-b
set_faults '{"mode":"ok"}'

request_completion entry-c tutor "after" 5 | tee "$work/after" | grep -q '"finish_reason":"length"' || fail "the last instance does not serve: $(cat "$work/after") $(ctl status --instance "${address[entry-c]}")"
ctl drain back-1 --instance "${address[entry-c]}" >/dev/null
until curl -sf "http://${address[back-1]}/load" | grep -q '"in_flight":0'; do :; done
for n in 1 2 3; do request_completion entry-c tutor "drained $n" 5 | grep -q '"finish_reason":"length"' || fail "no answer after the drain"; done
ctl endpoints --json --instance "${address[entry-c]}" | grep -o '{[^}]*"id":"back-1"[^}]*}' | grep -q '"state":"leaving"' || fail "back-1 is not leaving"
start_instance entry-d zone-a
wait_ready entry-d
wait_for entry-c ctl instances --instance "${address[entry-d]}"
wait_for leaving ctl endpoints --instance "${address[entry-d]}"
stop_gracefully entry-c entry-d
echo "shutdown passed"
