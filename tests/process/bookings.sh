#!/usr/bin/env bash
# Guards against bookings that run twice, or run although the caller was told that they did not ("ran":"no"). The store, the instance that
# holds the claim and the service fail in turn.
. "$(dirname "$0")/lib.sh"
start_fleet

book entry-a key-1 'seat 1' | grep -q '"echo":"seat 1"' || fail "a booking was not answered"
book entry-b key-1 'seat 1' | grep -q '"echo":"seat 1"' || fail "a repeated booking did not get the stored outcome"
[ "$(times_run 'seat 1')" = 1 ] || fail "seat 1 ran $(times_run 'seat 1') times"

# The store loses the answer of every second write.
set_faults '{"mode":"ok","lose_answer_every":2}'
for n in 2 3 4 5; do book entry-a "key-$n" "seat $n" >/dev/null; book entry-c "key-$n" "seat $n" >/dev/null; done
for n in 2 3 4 5; do [ "$(times_run "seat $n")" -le 1 ] || fail "seat $n ran twice"; done

# While the store is down, a booking is refused as not run, and does not run.
set_faults '{"mode":"down"}'
book entry-a key-6 'seat 6' >"$work/refused"
grep -q '"ran":"no"' "$work/refused" || fail "not refused: $(cat "$work/refused")"
curl -s -H "Authorization: Bearer $api_key" "http://${address[entry-a]}/timetable/x" | grep -q timetable || fail "a lookup failed while the store was down"
request_completion entry-b tutor "while the store is down" 5 | grep -q '"finish_reason":"length"' || fail "a completion failed while the store was down"
[ "$(times_run 'seat 6')" = 0 ] || fail "seat 6 ran"
set_faults '{"mode":"ok"}'
book entry-b key-6 'seat 6' | grep -q 'echo\|in_progress' || fail "seat 6 cannot be booked after the outage"

# The instance that holds the claim is killed while the service works on the booking.
book entry-a key-7 'SLOW seat 7' >/dev/null &
booking_pid=$!
until [ "$(times_run 'SLOW seat 7')" = 1 ]; do :; done
kill_now entry-a
wait $booking_pid || true
book entry-b key-7 'SLOW seat 7' >"$work/repeat"
grep -q '"ran":"unknown"' "$work/repeat" || fail "wrong answer to the repeat: $(cat "$work/repeat")"
[ "$(times_run 'SLOW seat 7')" = 1 ] || fail "seat 7 ran $(times_run 'SLOW seat 7') times"

# An instance is paused while its claim is written, and continues after another instance has received the same booking.
set_faults '{"mode":"ok","delay_ms":300}'
book entry-b key-8 'seat 8' >"$work/paused" &
booking_pid=$!
sleep 0.2
kill -STOP "${pid[entry-b]}"
sleep 3
book entry-c key-8 'seat 8' >"$work/other" || true
kill -CONT "${pid[entry-b]}"
wait $booking_pid || true
set_faults '{"mode":"ok"}'
[ "$(times_run 'seat 8')" -le 1 ] || fail "seat 8 ran $(times_run 'seat 8') times"

# The service crashes while it works on the booking, which may have run. The caller and a repeat get an unknown outcome, not another run.
book entry-b key-9 'CRASH seat 9' >"$work/crash"
grep -q '"ran":"unknown"' "$work/crash" || fail "wrong answer to a booking whose service crashed: $(cat "$work/crash")"
book entry-c key-9 'CRASH seat 9' >"$work/crash"
grep -q '"ran":"unknown"' "$work/crash" || fail "wrong answer to the repeat of that booking: $(cat "$work/crash")"
echo "bookings passed"
