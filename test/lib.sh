#!/usr/bin/env bash
# Functions shared by the scripts: they start processes in the background on free loopback ports and kill them at exit.
bin=bin
work=$(mktemp -d)
pids=()
names=()
declare -A pid_of
trace='{}'
intervals='{}'
entry_hosts=3
export DRAGONFLYROUTE_KEY=demo-operator-key-0001

stop_all() {
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
}
trap stop_all EXIT

fail() {
  echo "FAILED: $*" >&2
  for n in "${names[@]}"; do
    echo "--- last lines of $n" >&2
    tail -n 5 "$work/$n.log" >&2
  done
  exit 1
}

# start NAME PROGRAM ARGS... starts one process in the background.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
  pid_of[$name]=$!
}

# free PORT reports whether nothing listens on a port.
free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# choose_ports COUNT sets base to the first of COUNT consecutive free ports below the ephemeral range.
choose_ports() {
  local try count=$1
  for try in $(seq 1 50); do
    base=$((20000 + ((($$ * 31) + try * 977) % (11000 / count)) * count))
    local port ok=1
    for port in $(seq "$base" $((base + count - 1))); do
      free "$port" || ok=0
    done
    [ "$ok" = 1 ] && return
  done
  fail "no free ports"
}

# until_ok SECONDS COMMAND... repeats a command until it succeeds.
until_ok() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# post PORT PATH JSON sends a POST request and prints the whole response.
post() {
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'POST %s HTTP/1.0\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s' "$2" "${#3}" "$3" >&3
  cat <&3
  exec 3>&-
}

# get PORT PATH sends a GET request and prints the response body.
get() {
  exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
  printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&3
  sed '1,/^\r$/d' <&3
  exec 3>&-
}

# entry NUMBER DATA-CENTRE CALLERS-PORT PEERS-PORT starts one entry host.
entry() {
  cat >"$work/entry-$1.json" <<JSON
{
  "host": "entry-$1", "data-centre": "$2",
  "listen": {"callers": "127.0.0.1:$3", "peers": "127.0.0.1:$4"},
  "platform": "http://127.0.0.1:$base", "entry-hosts": $entry_hosts,
  "operator-key": "$DRAGONFLYROUTE_KEY", "peer-secret": "demo-peer-secret-0001",
  "log-level": "info", "trace": $trace,
  "intervals": $intervals
}
JSON
  "$bin/dragonflyroute" check "$work/entry-$1.json" >/dev/null || fail "settings of entry-$1 are invalid"
  start "entry-$1" "$bin/dragonflyroute" serve --settings "$work/entry-$1.json"
}

# catalogue writes the demo catalogue to a file.
catalogue() {
  cat >"$work/catalogue.json" <<'JSON'
{
  "note": "demo",
  "accounts": [{"id": "kerlann", "scale": 1}, {"id": "mutuelle", "scale": 4}],
  "entries": [
    {"name": "conseil-quick", "owner": "kerlann", "backend": "plume", "class": "quick", "version": "v1",
     "limits": {"first-token": "1.2s", "between-tokens": "42ms", "answer": "4s", "max-tokens": 64, "rate-per-second": 300, "burst": 300, "concurrent": 300},
     "price-ceiling-micros-per-hour": 2000000, "refund-micros": 2000},
    {"name": "contrat-long", "owner": "kerlann", "backend": "plume", "class": "long", "version": "v1",
     "limits": {"first-token": "8s", "between-tokens": "80ms", "answer": "60s", "max-tokens": 1024, "rate-per-second": 30, "burst": 30, "concurrent": 30},
     "price-ceiling-micros-per-hour": 2000000, "refund-micros": 3000},
    {"name": "caisse", "owner": "kerlann", "backend": "caisse", "class": "call", "version": "v1",
     "limits": {"answer": "2s", "rate-per-second": 900, "burst": 900, "concurrent": 900},
     "price-ceiling-micros-per-hour": 2000000, "refund-micros": 500,
     "routes": [{"name": "instalment", "method": "POST", "path": "/instalments", "idempotent": false},
                {"name": "balance", "method": "GET", "path": "/balance", "idempotent": true}]}
  ]
}
JSON
}
