#!/usr/bin/env bash
# Guards against bad input that gets the wrong error or ends the process: requests that are malformed, oversized, slow or truncated, unknown
# API keys, models and routes, and a broken settings file. Afterwards the instance must still serve requests, metrics, traces and logs.
. "$(dirname "$0")/lib.sh"
start_fleet "body_bytes: 4096" "header_bytes: 2048" "request_ms: 500"
instance_address=${address[entry-a]}
url=http://$instance_address
auth=(-H "Authorization: Bearer $api_key")

# expect STATUS KIND CURL-ARGUMENTS...: sends a request and fails unless the answer has this HTTP status and error kind.
expect() {
    local status=$1 kind=$2
    shift 2
    local got
    got=$(curl -s -m 20 -o "$work/body" -w '%{http_code}' "$@")
    [ "$got" = "$status" ] || fail "$kind: status $got, body $(cat "$work/body")"
    grep -q "\"kind\":\"$kind\"" "$work/body" || fail "$kind: not the kind of the error in $(cat "$work/body")"
}

expect 401 unauthenticated "$url/v1/models"
expect 401 unauthenticated -H 'Authorization: Bearer wrong' "$url/v1/models"
expect 404 unknown_model "${auth[@]}" -d '{"model":"none","prompt":"x"}' "$url/v1/completions"
expect 404 unknown_route "${auth[@]}" "$url/nowhere"
expect 400 bad_request "${auth[@]}" -d '{"model":' "$url/v1/completions"
expect 400 bad_request "${auth[@]}" -d '[]' "$url/v1/completions"
expect 400 bad_request "${auth[@]}" -d '{"model":"tutor"}' "$url/v1/completions"
expect 400 bad_request "${auth[@]}" -d '{"model":"tutor","prompt":"x","max_tokens":-1}' "$url/v1/completions"
expect 400 bad_request "${auth[@]}" -d '{"model":"tutor","prompt":"x","max_tokens":99999999}' "$url/v1/completions"
expect 405 method_not_allowed "${auth[@]}" "$url/v1/completions"
expect 400 idempotency_key_required "${auth[@]}" -d x "$url/booking/seats"
expect 413 body_too_large "${auth[@]}" -d "$(head -c 9000 /dev/zero | tr '\0' x)" "$url/v1/completions"
expect 431 header_too_large "${auth[@]}" -H "X-Long: $(head -c 5000 /dev/zero | tr '\0' x)" "$url/v1/models"
expect 403 forbidden "$url/admin/status"
expect 403 forbidden "${auth[@]}" "$url/admin/status"

host=${address[entry-a]%:*}
port=${address[entry-a]#*:}
# send_raw TEXT: sends the bytes over a new connection and prints the answer.
send_raw() {
    exec 3<>"/dev/tcp/$host/$port"
    printf '%b' "$1" >&3
    timeout 20 cat <&3 || true
    exec 3>&-
}
send_raw 'NONSENSE\r\n\r\n' | grep -q '400 Bad Request' || fail "a malformed request was not refused"
send_raw 'POST /v1/completions HTTP/1.1\r\nContent-Length: 50\r\n\r\nshort' | grep -q '408' || fail "a slow body was not refused"
exec 3<>"/dev/tcp/$host/$port"
# The connection is closed in the middle of a header.
printf 'POST /v1/completions HTTP/1.1\r\nContent-Le' >&3
exec 3>&-

printf 'id: x\nzone z\n' >"$work/broken.yaml"
code=0
"$build/programs/trefoilportd/trefoilportd" --settings "$work/broken.yaml" 2>"$work/problems" || code=$?
[ $code = 2 ] && grep -q 'broken.yaml:' "$work/problems" || fail "a broken settings file was not reported: exit code $code, output $(cat "$work/problems")"

code=0
TREFOILPORT_NODE_FILE=$work/missing.yaml "$build/programs/trefoilportd/trefoilportd" 2>"$work/problems" || code=$?
[ $code = 2 ] && grep -q "can't read the settings file '$work/missing.yaml'" "$work/problems" || fail "a missing settings file was not reported: exit code $code, output $(cat "$work/problems")"

curl -sf "${auth[@]}" "$url/v1/models" | grep -q '"id":"tutor"' || fail "models are not listed"
curl -sf "${auth[@]}" "$url/v1/chat/completions" -d '{"model":"tutor","messages":[{"role":"user","content":"hello"}],"max_tokens":4}' | grep -q '"role":"assistant"' || fail "a chat completion was not answered"
curl -sf "$url/healthz" >/dev/null && curl -sf "$url/metrics" | grep -q '^trefoilport_calls_answered_total [1-9]' || fail "the health check failed, or the metrics count no answered call"
ctl timeline --instance "$(instance_list entry-a entry-b entry-c)" --trace "$work/trace.json" >/dev/null
grep -q '"traceEvents"' "$work/trace.json" || fail "the timeline wrote no trace events"
grep -q '"message"' "$work/entry-a.err" || fail "the log has no records"
grep -q '"team"' "$work/entry-a.err" || fail "the log names no team"
ctl drain timetable-1 --json --instance "$instance_address" | grep -q '"draining":"timetable-1"' || fail "the drain was not confirmed"
echo "bad-input passed"
