#!/usr/bin/env bash
# Starts crankridge on loopback with fakes of the external services, sends a
# chat request and a service call, prints the status and stops. With KEEP=1 it
# keeps running until Ctrl-C.
set -eu
cd "$(dirname "$0")/.."
run=demo/run
mkdir -p "$run"
export CRANKRIDGE_TOKEN=demo-operator
export CRANKRIDGE_CONTROL=127.0.0.1:7103,127.0.0.1:7203,127.0.0.1:7303
export CRANKRIDGE_ENTRY=127.0.0.1:7101,127.0.0.1:7201,127.0.0.1:7301
pids=()
stop() {
  trap - EXIT INT TERM
  echo "== stopping"
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  kill -TERM "$standins" 2>/dev/null || true
  wait 2>/dev/null || true
}
bin/crank-standin -s demo/standins.yaml 2>"$run/standins.log" & standins=$!
trap stop EXIT
trap 'exit 130' INT TERM
for i in 1 2 3; do
  bin/crank-entry -s demo/entry-$i.yaml 2>"$run/entry-$i.log" & pids+=($!)
  bin/crank-control -s demo/control-$i.yaml 2>"$run/control-$i.log" & pids+=($!)
done
wait_for() { # description, command: retries the command for about 30 s
  local description=$1; shift
  for _ in $(seq 150); do
    if "$@" >"$run/last.out" 2>&1; then echo "== $description"; return; fi
    sleep 0.2
  done
  echo "timed out after 30 s: $description"; cat "$run/last.out"; exit 1
}
all_nodes_listed() { [ "$(bin/crankctl status | grep -c '^node-')" = 3 ]; }
wait_for "three nodes are listed" all_nodes_listed
bin/crankctl apply -f demo/resources.yaml --wait
sed -e "s/@START@/$(date -u -d '+1 minute' +%FT%TZ)/" -e "s/@END@/$(date -u -d '+1 hour' +%FT%TZ)/" demo/event.yaml >"$run/event.yaml"
bin/crankctl apply -f "$run/event.yaml" --wait
event_ready() { bin/crankctl status | grep -E 'saturday-rides +(Ready|InForce)'; }
wait_for "the event is ready before its start" event_ready
for port in 7101 7201 7301; do wait_for "the node at port $port is ready" curl -fsS "http://127.0.0.1:$port/readyz"; done
echo "== chat request of the customer ride-leaders"
bin/crankctl --key demo-ride-key send --model climb --max-tokens 40 "Describe the climb to the pass for my Saturday group."
echo "== booking of the customer clinics, which must run at most once"
bin/crankctl --key demo-clinic-key send --service booking --path /chairs/3 --not-repeatable --request-key booking-42 '{"patient":"A. M.","at":"08:20"}'
echo "== retry with the same request key, as after a lost response: returns the first response"
bin/crankctl --key demo-clinic-key send --service booking --path /chairs/3 --not-repeatable --request-key booking-42 '{"patient":"A. M.","at":"08:20"}'
echo "== executions of each request key, counted by the service"
curl -fsS http://127.0.0.1:7021/admin/runs
echo "== status"
bin/crankctl status
if [ "${KEEP:-}" = 1 ]; then
  echo "== running until Ctrl-C; try: CRANKRIDGE_TOKEN=demo-operator bin/crankctl --control 127.0.0.1:7103 status"
  wait "$standins"
fi
