#!/usr/bin/env bash
# Measures the latency and CPU time that an entry host adds to a request, with one platform, one engine without delays and
# one entry host.
set -u
cd "$(dirname "$0")/.."
. test/lib.sh

choose_ports 20
entry_hosts=1
catalogue
sed -i 's/"rate-per-second": [0-9]*, "burst": [0-9]*, "concurrent": [0-9]*/"rate-per-second": 100000, "burst": 100000, "concurrent": 10000/' "$work/catalogue.json"
start platform "$bin/standin" platform --listen "127.0.0.1:$base"
until_ok 5 get "$base" /stats || fail "platform did not start"
start engine "$bin/standin" engine --listen "127.0.0.1:$((base + 1))" --platform "http://127.0.0.1:$base" --id plume-1 --backend plume --data-centre bzh-rennes \
  --token-ms 0 --slots 512 --prefill-rate 100000000
entry 1 bzh-rennes $((base + 2)) $((base + 3))
export DRAGONFLYROUTE_AT="127.0.0.1:$((base + 2))"
until_ok 10 "$bin/dragonflyroute" catalogue put "$work/catalogue.json" --base 0 || fail "catalogue refused"
until_ok 10 get $((base + 2)) /healthz
sleep 3
"$bin/bench" hop --entry "127.0.0.1:$((base + 2))" --engine "127.0.0.1:$((base + 1))" --pid "${pid_of[entry-1]}" "$@"
