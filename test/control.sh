#!/usr/bin/env bash
# Measures the peer traffic and CPU time of fleets of real entry hosts, idle and at 10 catalogue changes a minute:
# control.sh [COUNT...].
set -u
cd "$(dirname "$0")/.."
. test/lib.sh

counts=${*:-3 7 20 60}
seconds=${SECONDS_EACH:-24}
engines=${ENGINES:-12}
catalogue
for count in $counts; do
  choose_ports $((2 * count + 2 + engines))
  entry_hosts=$count
  start "platform-$count" "$bin/standin" platform --listen "127.0.0.1:$base"
  until_ok 5 get "$base" /stats || fail "platform did not start"
  targets=()
  for n in $(seq 1 "$count"); do
    entry "$n" "dc-$((n % 7))" $((base + 2 * n)) $((base + 2 * n + 1))
    targets+=("127.0.0.1:$((base + 2 * n))=${pid_of[entry-$n]}")
  done
  for n in $(seq 1 "$engines"); do
    start "engine-$count-$n" "$bin/standin" engine --listen "127.0.0.1:$((base + 2 * count + 1 + n))" --platform "http://127.0.0.1:$base" \
      --id "plume-$n" --backend plume --data-centre "dc-$((n % 3))"
  done
  export DRAGONFLYROUTE_AT="127.0.0.1:$((base + 2))"
  until_ok 30 "$bin/dragonflyroute" catalogue put "$work/catalogue.json" --base 0 || fail "catalogue refused"
  sleep 5
  "$bin/bench" control --hosts "$(IFS=,; echo "${targets[*]}")" --for "${seconds}s" --label "idle" --json
  (
    for revision in $(seq 1 $((seconds / 6))); do
      sed "s/\"note\": \"demo\"/\"note\": \"change $revision\"/" "$work/catalogue.json" >"$work/next.json"
      "$bin/dragonflyroute" catalogue put "$work/next.json" --base "$revision" >/dev/null 2>&1
      sleep 5.8
    done
  ) &
  "$bin/bench" control --hosts "$(IFS=,; echo "${targets[*]}")" --for "${seconds}s" --label "10-changes-a-minute" --json
  for name in "platform-$count" $(seq -f 'entry-%g' 1 "$count") $(seq -f "engine-$count-%g" 1 "$engines"); do
    kill -KILL "${pid_of[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
done
