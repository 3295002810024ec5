#!/usr/bin/env bash
# Runs the whole system on loopback: platform, three engines in two data centres, two application services and
# three entry hosts, each a process of its own. Prints a short summary and ends with "demo ok".
set -u
cd "$(dirname "$0")/.."
. test/lib.sh

ask() { "$bin/dragonflyroute" ask --account mutuelle --at "$entries" "$@"; }
field() { sed -n "s/^ *\"$1\": \"\\{0,1\\}\\([^\",]*\\)\"\\{0,1\\},\\{0,1\\}$/\\1/p" "$2" | head -n 1; }

choose_ports 20
entries="127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12)),127.0.0.1:$((base + 13))"
export DRAGONFLYROUTE_AT="127.0.0.1:$((base + 11))"
platform="http://127.0.0.1:$base"
catalogue

start platform "$bin/standin" platform --listen "127.0.0.1:$base"
until_ok 5 get "$base" /stats || fail "platform did not start"
start engine-1 "$bin/standin" engine --listen "127.0.0.1:$((base + 1))" --platform "$platform" --id plume-1 --backend plume --data-centre bzh-rennes
start engine-2 "$bin/standin" engine --listen "127.0.0.1:$((base + 2))" --platform "$platform" --id plume-2 --backend plume --data-centre bzh-brest
start engine-3 "$bin/standin" engine --listen "127.0.0.1:$((base + 3))" --platform "$platform" --id plume-3 --backend plume --data-centre bzh-brest
for v in 1 2 3; do
  start "app-v$v" "$bin/standin" app --listen "127.0.0.1:$((base + 3 + v))" --platform "$platform" --id "caisse-$v" --backend caisse --version "v$v" --data-centre bzh-rennes
done
intervals='{"heartbeat": "200ms", "host-list": "200ms", "keep-answer": "1s", "drain": "12s", "move-step": "200ms", "lease-term": "2s"}'
centres=(- bzh-rennes bzh-brest bzh-rennes)
for n in 1 2 3; do
  trace="{\"file\": \"$work/trace-$n.jsonl\"}"
  entry "$n" "${centres[$n]}" $((base + 10 + n)) $((base + 15 + n))
done
# ready reports whether the first entry host sees the other two and all six endpoints.
ready() {
  "$bin/dragonflyroute" status >"$work/status.txt" 2>/dev/null || return 1
  [ "$(grep -c '^entry host' "$work/status.txt")" = 3 ] && [ "$(grep -c '^endpoint' "$work/status.txt")" = 6 ]
}
until_ok 10 ready || fail "entry hosts did not find each other"
"$bin/dragonflyroute" catalogue put "$work/catalogue.json" --base 0 >"$work/put.txt" || fail "catalogue refused"
echo "1. $(cat "$work/put.txt")"

until_ok 5 ask conseil-quick "Is the vault covered?" || fail "no quick answer"
ask conseil-quick "What does the contract cover?" --max-tokens 12 --json --trace-file "$work/trace-caller.jsonl" >"$work/quick.json" || fail "quick answer failed"
echo "2. quick answer: $(field tokens "$work/quick.json") tokens, the first after $(field first-token-ms "$work/quick.json") ms"

pay() { ask caisse --call POST:/instalments --body '{"contract":"c-17","amount-cents":2500}' --key demo-payment-1 --json; }
pay >"$work/pay-1.json" || fail "payment failed"
pay >"$work/pay-2.json" || fail "retry of the payment failed"
runs=$(get $((base + 4)) /runs)
[ "$runs" = '{"demo-payment-1":1}' ] || fail "executions of the payment: $runs"
echo "3. payment and its retry with the same key: one run, both callers read $(field status "$work/pay-1.json") and $(field status "$work/pay-2.json")"

long="Summarise the history of contract c-17 for the family."
ask contrat-long "$long" --max-tokens 300 --json >"$work/long-unbroken.json" || fail "long answer failed"
ask contrat-long "$long" --max-tokens 300 --json >"$work/long.json" 2>"$work/long.err" &
asking=$!
sleep 0.8
post "$base" /cloud/reclaim '{"data-centre":"bzh-brest","notice-ms":1500}' >"$work/reclaim.txt" || fail "reclaim request failed"
wait "$asking" || fail "long answer was lost: $(cat "$work/long.err")"
[ "$(field text "$work/long.json")" = "$(field text "$work/long-unbroken.json")" ] || fail "long answer differs after the reclaim"
echo "4. bzh-brest reclaimed with 1.5 s notice during a long answer: all $(field tokens "$work/long.json") tokens came, the same as unbroken"

ask contrat-long "$long" --max-tokens 300 --json >"$work/drain.json" 2>"$work/drain.err" &
asking=$!
sleep 0.5
leaving=
for n in 1 2 3; do
  "$bin/dragonflyroute" status --at "127.0.0.1:$((base + 10 + n))" >"$work/status.txt"
  grep -q "entry-$n .* revision 1, 1 running" "$work/status.txt" && leaving=$n
done
[ -n "$leaving" ] || fail "no entry host runs the long answer"
staying=$((leaving % 3 + 1))
export DRAGONFLYROUTE_AT="127.0.0.1:$((base + 10 + staying))"
kill -TERM "${pid_of[entry-$leaving]}"
wait "$asking" || fail "long answer was lost in the drain: $(cat "$work/drain.err")"
wait "${pid_of[entry-$leaving]}" || fail "entry-$leaving did not stop cleanly"
[ "$(field text "$work/drain.json")" = "$(field text "$work/long-unbroken.json")" ] || fail "long answer differs after the drain"
echo "5. entry-$leaving stopped gracefully during a long answer: all $(field tokens "$work/drain.json") tokens came over $(field connections "$work/drain.json") connections"

post $((base + 6)) /faults '{"fail-share":0.5}' >/dev/null || fail "setting the fault failed"
load() { "$bin/bench" load --at "$entries" --account mutuelle --entry caisse --call GET:/balance --rate 500 --for "$1" --json >"$work/load.json" 2>"$work/load.err"; }
load 16s &
loading=$!
"$bin/dragonflyroute" move start caisse v2 --finish-by 14s >"$work/move.txt" || fail "move refused"
"$bin/dragonflyroute" move show caisse --wait >"$work/move.txt" || fail "good move: $(cat "$work/move.txt")"
echo "6. $(cat "$work/move.txt")"
kill "$loading" 2>/dev/null
wait "$loading" 2>/dev/null
load 12s &
loading=$!
"$bin/dragonflyroute" move start caisse v3 --finish-by 11s >/dev/null || fail "move refused"
"$bin/dragonflyroute" move show caisse --wait >"$work/move.txt" 2>/dev/null
code=$?
[ "$code" = 3 ] || fail "bad move was not rolled back: $(cat "$work/move.txt")"
echo "7. $(cat "$work/move.txt")"
kill "$loading" 2>/dev/null
wait "$loading" 2>/dev/null

trace=$(grep -o '"SpanContext":{"TraceID":"[0-9a-f]*"' "$work/trace-caller.jsonl" | head -n 1 | cut -d'"' -f6)
spans() { cat "$work"/trace-*.jsonl | grep -F "\"SpanContext\":{\"TraceID\":\"$trace\""; }
# The hosts export spans in batches, so the last ones are written with a delay.
until_ok 10 eval 'spans | grep -q caller-request' || fail "no span of the entry host in trace $trace"
echo "8. trace $trace, a span for each hop:"
spans | sed -n 's/^{"Name":"\([^"]*\)".*"StartTime":"[^T]*T\([^+Z]*\)[^"]*","EndTime":"[^T]*T\([^+Z]*\).*/\2 \3 \1/p' | sort | while read -r from to name; do
  echo "   $name  $from to $to"
done
for n in "${names[@]}"; do
  kill -TERM "${pid_of[$n]}" 2>/dev/null
done
echo "demo ok"
