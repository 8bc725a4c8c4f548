#!/usr/bin/env bash
# demo.sh BUILD [--keep]
# Starts a stand-in of the platform, engines for two models of three stages each, two services and three instances. Sends requests to the
# instances, compares the completions with the expected text and stops everything. With --keep, the fleet runs until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
keep=${2:-}
. scripts/fleet.sh

start_platform
for zone in a b c; do
    start_engine "tutor-0-$zone" tutor 0 4 "zone-$zone"
    start_engine "tutor-4-$zone" tutor 4 8 "zone-$zone"
    start_engine "tutor-8-$zone" tutor 8 12 "zone-$zone"
done
for stage in 0 3 6; do start_engine "citation-$stage" citation $stage $((stage + 3)) zone-a; done
start_service booking-1 booking zone-a
start_service timetable-1 timetable zone-a
start_service timetable-2 timetable zone-b
instances=(entry-a entry-b entry-c)
for zone in a b c; do start_instance "entry-$zone" "zone-$zone"; done

write_settings
ctl check "$work/settings"
ctl apply "$work/settings" --platform "${address[platform]}"
wait_ready "${instances[@]}"
for name in "${instances[@]}"; do wait_for tutor-8-c ctl endpoints --instance "${address[$name]}"; done

sent=0
whole=0
for name in "${instances[@]}"; do
    for model in "tutor 12" "citation 9"; do
        set -- $model
        prompt="cut the blocks for a dome of $sent metres"
        got=$(stream_completion "$name" "$1" "$prompt" 12 | tee "$work/stream")
        sent=$((sent + 1))
        text=$(text_of <"$work/stream")
        echo "$name $1:$text"
        if [ "$text" = "$(expected_text "$1" "$2" "$prompt" 12)" ] && grep -q '^data: \[DONE\]' "$work/stream"; then whole=$((whole + 1)); fi
    done
done

auth=(-H "Authorization: Bearer $api_key")
for name in entry-a entry-b; do echo "lookup: $(curl -s "${auth[@]}" "http://${address[$name]}/timetable/monday")"; done
for name in entry-a entry-b; do
    echo "booking: $(curl -s "${auth[@]}" -H 'Idempotency-Key: family-7' -d 'seat 4' "http://${address[$name]}/booking/seats")"
done
booked=$(curl -s "http://${address[booking-1]}/executed" | sed -n 's/.*"seat 4":\([0-9]*\).*/\1/p')
ctl status --instance "$(instance_list "${instances[@]}")"

if [ "$keep" = --keep ]; then
    echo "API key: $api_key   operators' key: $operator_key   platform: ${address[platform]}"
    echo "try: curl -N http://${address[entry-a]}/v1/completions -H 'Authorization: Bearer $api_key' -d '{\"model\":\"tutor\",\"prompt\":\"hello\",\"max_tokens\":20,\"stream\":true}'"
    echo "     TREFOIL_OPERATOR_KEY=$operator_key $build/programs/trefoilctl/trefoilctl timeline --instance $(instance_list "${instances[@]}")"
    echo "press Ctrl-C to stop"
    trap 'exit 0' INT
    while sleep 1; do :; done
fi

stop_gracefully "${instances[@]}"
echo "demo sent=$sent whole=$whole booked=$booked"
[ "$sent" = "$whole" ] && [ "$booked" = 1 ]
