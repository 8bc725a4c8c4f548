#!/usr/bin/env bash
# Guards against a start that fails on an address in use without telling which address it is and which setting names it.
. "$(dirname "$0")/lib.sh"
start_platform
busy=${address[platform]}
daemon=$build/programs/trefoilportd/trefoilportd
address_in_use=4

# expect_listen_failed SETTING OUTPUT: fails unless the message and a JSON log line in the output name the busy address and the setting.
expect_listen_failed() {
    [ "$code" = $address_in_use ] || fail "$1: exit code $code, output $(cat "$2")"
    grep -q "^trefoilportd: can't listen on $busy ($1): address already in use$" "$2" || fail "$1: no message in $(cat "$2")"
    grep '^{' "$2" | tr -d '\\' | grep listen_failed | grep "$busy" | grep -q "$1" || fail "$1: no log line in $(cat "$2")"
}

for setting in listen mesh; do
    printf 'id: one\nzone: zone-a\nplatform: %s\n%s: %s\n' "$busy" "$setting" "$busy" >"$work/one.yaml"
    code=0
    "$daemon" --settings "$work/one.yaml" >"$work/$setting" 2>&1 || code=$?
    expect_listen_failed "$setting" "$work/$setting"
done

# relay_settings MESH-PORT FRONT READY: writes the settings file of a relaying instance.
relay_settings() {
    printf 'Node: one\nZone: zone-a\nIp: 127.0.0.1\nInternalPorts: [%s, 0]\nListen: {Front: "%s", Ready: "%s"}\n' "$1" "$2" "$3" >"$work/node.yaml"
    printf 'Provider: {Address: "%s"}\nBounds: {}\n' "$busy" >>"$work/node.yaml"
}

# expect_relay_listen_failed SETTING: fails unless a relaying instance with the settings written before ends as described.
expect_relay_listen_failed() {
    code=0
    TREFOILPORT_NODE_FILE="$work/node.yaml" "$daemon" >"$work/relay" 2>&1 || code=$?
    expect_listen_failed "$1" "$work/relay"
}

relay_settings "${busy#*:}" "$busy" "$busy"
expect_relay_listen_failed mesh
relay_settings 0 "$busy" "$busy"
expect_relay_listen_failed callers
echo "busy-address: passed"
