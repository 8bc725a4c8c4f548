#!/usr/bin/env bash
# Checks trefoilctl: it reports invalid settings with file, line and field, and of two concurrent changes at least one is accepted. Also guards
# against an instance that hangs and blocks a change, instead of being removed from the members, and against an instance that cannot start
# without the store.
. "$(dirname "$0")/lib.sh"
start_fleet

mkdir "$work/bad"
printf 'models:\n  tutor:\n    layers: many\n' >"$work/bad/10.yaml"
code=0
ctl check "$work/bad" 2>"$work/problems" || code=$?
[ $code = 2 ] || fail "check ended with $code"
grep -q '10.yaml:3: models.tutor.layers: must be a whole number' "$work/problems" || fail "$(cat "$work/problems")"

# A file that can't be read must not be left out: the rest of the folder is another configuration.
mkdir "$work/unreadable"
cp "$work"/settings/* "$work/unreadable/"
ln -s "$work/missing" "$work/unreadable/90.yaml"
code=0
ctl check "$work/unreadable" 2>"$work/problems" || code=$?
[ $code = 2 ] || fail "check of an unreadable file ended with $code"
grep -q "90.yaml.*can't be read" "$work/problems" || fail "$(cat "$work/problems")"

operator_pids=()
ctl check "$work/bad" --json >"$work/problems" 2>/dev/null || true
grep -q '"line":3' "$work/problems" || fail "the JSON output lacks the problem"
ctl check "$work/settings" --json | grep -q '"valid":true' || fail "the JSON output does not report the settings as valid"

# Two operators change the same file at the same time. At least one change is accepted; the other operator may be told which file has changed.
for change in left right; do
    mkdir -p "$work/$change"
    printf 'models:\n  tutor: {first_token_ms: %s}\n' "$([ $change = left ] && echo 2100 || echo 2200)" >"$work/$change/20-override.yaml"
    ctl apply "$work/$change" --platform "${address[platform]}" --wait_ms 20000 >"$work/$change.out" 2>&1 &
    operator_pids[${#operator_pids[@]}]=$!
done
wait "${operator_pids[0]}" || true
wait "${operator_pids[1]}" || true
[ "$(cat "$work"/left.out "$work"/right.out | grep -c '^accepted')" -ge 1 ] || fail "neither change was accepted: $(cat "$work"/left.out "$work"/right.out)"

before=$(ctl status --json --instance "${address[entry-a]}" | sed -n 's/.*"revision":\([0-9]*\),"staged.*/\1/p')
# A stopped instance cannot stage the change.
kill -STOP "${pid[entry-c]}"
printf 'models:\n  tutor: {first_token_ms: 2500}\n' >"$work/left/20-override.yaml"
ctl apply "$work/left" --platform "${address[platform]}" --wait_ms 60000 | grep -q '^accepted' || fail "a stopped instance blocked the change"
kill -CONT "${pid[entry-c]}"
wait_for "\"revision\":$((before + 1))" ctl status --json --instance "${address[entry-c]}"

# An instance that starts during an outage of the store gets the configuration from its peers.
set_faults '{"mode":"down"}'
mesh=$(sed -n 's/^listening .* mesh //p' "$work/entry-a.out")
start_instance entry-d zone-a "seeds: [\"$mesh\"]"
wait_for "\"revision\":$((before + 1))" ctl status --json --instance "${address[entry-d]}"
set_faults '{"mode":"ok"}'

# A head that can't be decoded is named as such by the instances and by trefoilctl, and the configuration in force stays.
# entry-d joins meanwhile, so that the head may have a newer version by the time of the write; it is read again then.
damage_head() {
    curl -sf "http://${address[platform]}/objects/config/head" -D "$work/head.fields" -o "$work/head.saved" || return 1
    local version
    version=$(tr -d '\r' <"$work/head.fields" | sed -n 's/^X-Version: //Ip')
    curl -sf -X PUT -H "If-Match: $version" --data-binary 'no head' "http://${address[platform]}/objects/config/head" >/dev/null
}
tries=0
until damage_head; do
    tries=$((tries + 1))
    [ $tries -lt 50 ] || fail "the head can't be written"
    sleep 0.1
done
wait_for head_damaged cat "$work/entry-a.err"
code=0
ctl diff "$work/left" --platform "${address[platform]}" >"$work/diff.out" 2>&1 || code=$?
[ $code = 5 ] && grep -q "config/head, version .*, can't be decoded" "$work/diff.out" || fail "diff of a damaged head: exit code $code, $(cat "$work/diff.out")"
code=0
ctl apply "$work/left" --platform "${address[platform]}" >"$work/apply.out" 2>&1 || code=$?
[ $code = 5 ] && grep -q "config/head, version .*, can't be decoded" "$work/apply.out" || fail "apply to a damaged head: exit code $code, $(cat "$work/apply.out")"
ctl status --json --instance "${address[entry-a]}" | grep -q "\"revision\":$((before + 1))" || fail "a damaged head has changed the configuration in force"
echo "configuration passed"
