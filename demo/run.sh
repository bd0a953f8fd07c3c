#!/usr/bin/env bash
# Starts crankridge on loopback with fakes of the outside services, sends a
# chat request and a booking, shows what happened, and stops. With KEEP=1 it
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
until_ok() { # what, command: waits up to 30 s
  local what=$1; shift
  for _ in $(seq 150); do
    if "$@" >"$run/last.out" 2>&1; then echo "== $what"; return; fi
    sleep 0.2
  done
  echo "not so after 30 s: $what"; cat "$run/last.out"; exit 1
}
three_nodes() { [ "$(bin/crankctl status | grep -c '^node-')" = 3 ]; }
until_ok "three nodes are there" three_nodes
bin/crankctl apply -f demo/resources.yaml --wait
sed -e "s/@START@/$(date -u -d '+1 minute' +%FT%TZ)/" -e "s/@END@/$(date -u -d '+1 hour' +%FT%TZ)/" demo/event.yaml >"$run/event.yaml"
bin/crankctl apply -f "$run/event.yaml" --wait
event_ready() { bin/crankctl status | grep -E 'saturday-rides +(Ready|InForce)'; }
until_ok "the event is ready, before its start" event_ready
for a in 7101 7201 7301; do until_ok "node at $a serves" curl -fsS "http://127.0.0.1:$a/readyz"; done
echo "== a ride leader asks for a narrative"
bin/crankctl --key demo-ride-key send --model climb --max-tokens 40 "Describe the climb to the pass for my Saturday group."
echo "== a receptionist books a chair; this must run at most once"
bin/crankctl --key demo-clinic-key send --service booking --path /chairs/3 --not-repeatable --request-key booking-42 '{"patient":"A. M.","at":"08:20"}'
echo "== the same booking again, as after a lost answer: the first answer comes back"
bin/crankctl --key demo-clinic-key send --service booking --path /chairs/3 --not-repeatable --request-key booking-42 '{"patient":"A. M.","at":"08:20"}'
echo "== how often the service ran it"
curl -fsS http://127.0.0.1:7021/admin/runs
echo "== what stands where"
bin/crankctl status
if [ "${KEEP:-}" = 1 ]; then
  echo "== running until Ctrl-C; try: CRANKRIDGE_TOKEN=demo-operator bin/crankctl --control 127.0.0.1:7103 status"
  wait "$standins"
fi
