//go:build measure

package test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/ctl"
	"github.com/crankridge/crankridge/src/event"
	"github.com/crankridge/crankridge/src/standin"
)

// The tests below check no limits; make measure runs them and prints the results.

// runLoad runs crankctl load against the addresses and returns its report.
func (b *testbed) runLoad(addrs []string, args ...string) ctl.LoadReport {
	b.t.Helper()
	cmdArgs := append([]string{"--entry", strings.Join(addrs, ","), "--key", rideKey, "load", "--model", "climb", "--json"}, args...)
	cmd := exec.Command(filepath.Join(binaries, "crankctl"), cmdArgs...)
	cmd.Stderr = os.Stderr
	raw, err := cmd.Output()
	if err != nil {
		b.t.Fatal(err)
	}
	var r ctl.LoadReport
	if err := json.Unmarshal(raw, &r); err != nil {
		b.t.Fatal(err)
	}
	return r
}

func (b *testbed) callerAddrs() []string {
	var out []string
	for _, n := range b.nodes {
		out = append(out, n.callers)
	}
	return out
}

// Latency that a node adds, compared with the same load sent to the engines directly.
func TestMeasureAddedLatency(t *testing.T) {
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 6, services: 1, modelServers: 1, engineShape: "step_ms: 5, step_per_seq: 0.02, prefill_tps: 200000, slots: 64"})
	var engines []string
	for _, e := range b.engines {
		engines = append(engines, e.addr)
	}
	for _, c := range []struct{ name, rate, tokens string }{
		{"200 requests/s of 1 token", "200", "1"},
		{"2,000 tokens/s streamed (50 requests/s of 40)", "50", "40"},
	} {
		for run := range 3 {
			args := []string{"--rate", c.rate, "--max-tokens", c.tokens, "--duration", "8s", "--prefix-len", "30", "--own-len", "5"}
			direct := b.runLoad(engines, args...)
			via := b.runLoad(b.callerAddrs(), args...)
			t.Logf("%s, run %d: first token direct p50 %.2f p99 %.2f ms, through a node p50 %.2f p99 %.2f ms, added p50 %.2f p99 %.2f ms; between tokens p95 direct %.2f, through %.2f ms (sent %d, completed %d)",
				c.name, run+1, direct.FirstP50, direct.FirstP99, via.FirstP50, via.FirstP99, via.FirstP50-direct.FirstP50, via.FirstP99-direct.FirstP99, direct.BetweenP95, via.BetweenP95, via.Sent, via.Completed)
		}
	}
}

// Cost of a claim: bookings of a service that is not repeatable, compared with one that is.
func TestMeasureClaim(t *testing.T) {
	b := newTestbed(t, options{nodes: 5, domains: 3, engines: 1, services: 2, modelServers: 1})
	peerBytes := func() (in, out int64) {
		for _, n := range b.nodes {
			s := b.state(n)
			in += s.Traffic["peers_in"][0]
			out += s.Traffic["peers_in"][1]
		}
		return in, out
	}
	const n = 2000
	for run := range 3 {
		idleIn, idleOut := peerBytes()
		idleStart := time.Now()
		<-time.After(3 * time.Second)
		in, out := peerBytes()
		idleRate := float64(in-idleIn+out-idleOut) / time.Since(idleStart).Seconds()
		for _, claimed := range []bool{false, true} {
			version := b.apply(catalog.Resource{Kind: catalog.KindService, Name: "booking", Service: &catalog.Service{Repeatable: !claimed}})
			b.eventually("in force", func() bool { return b.rolloutStatus(version).Have == 5 })
			in0, out0 := peerBytes()
			start := time.Now()
			durations := make([]time.Duration, n)
			runConcurrently(4, func(w int) {
				for i := w; i < n; i += 4 {
					req := bookingRequest(fmt.Sprintf("m%d-%t-%d", run, claimed, i)).withHeader("Crankridge-Attempt", "1")
					if !claimed {
						delete(req.header, "Idempotency-Key")
					}
					r := b.nodes[i%5].send(req)
					if r.outcome != "completed" {
						t.Error(r.status, r.body)
					}
					durations[i] = r.duration
				}
			})
			in1, out1 := peerBytes()
			bytes := float64(in1-in0+out1-out0) - idleRate*time.Since(start).Seconds()
			t.Logf("run %d claimed %t: p50 %.2f ms p99 %.2f ms, peer bytes per request %.0f", run+1, claimed, quantileMS(durations, .5), quantileMS(durations, .99), bytes/n)
		}
	}
}

func quantileMS(durations []time.Duration, q float64) float64 {
	sorted := append([]time.Duration(nil), durations...)
	for i := range sorted {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return float64(sorted[int(q*float64(len(sorted)-1))].Microseconds()) / 1000
}

// Routing policies compared on the same stand-ins and seeds.
func TestMeasureRouting(t *testing.T) {
	shape := "slots: 16, prefill_tps: 8000, step_ms: 15, step_per_seq: 0.4, cache_blocks: 250, lag_ms: "
	load := []string{"--prefixes", "60", "--prefix-len", "300", "--max-tokens", "40", "--duration", "15s"}
	steady := append([]string{"--rate", "85"}, load...)
	surging := append([]string{"--rate", "12", "--surge", "10", "--surge-start", "3s", "--surge-ramp", "5s", "--surge-for", "5s"}, load...)
	for _, sc := range []struct {
		name, lag string
		args      []string
		disturb   func(b *testbed)
	}{
		{"steady, reports 0.5 s old", "500", steady, nil},
		{"steady, reports 2 s old", "2000", steady, nil},
		{"steady, reports 5 s old", "5000", steady, nil},
		{"surge x10 in 5 s, reports 0.5 s old", "500", surging, nil},
		{"surge, a domain reclaimed at its start", "500", surging, func(b *testbed) { b.reclaimDomain("fd-b", 2*time.Second) }},
		{"steady, half the cache events lost", "500", steady, func(b *testbed) {
			for _, e := range b.engines {
				b.postAdmin(e.addr, "faults", standin.EngineFaults{DropCacheEvents: 0.5})
			}
		}},
	} {
		for _, p := range []string{"random", "round-robin", "least-outstanding", "two-choices", "estimate", "oracle"} {
			entry, lag := fmt.Sprintf("routing: {policy: %s, report: 500ms}", p), sc.lag
			if p == "oracle" {
				entry, lag = "routing: {policy: estimate, report: 50ms}", "1"
			}
			t.Run(sc.name+"/"+p, func(t *testing.T) {
				b := newTestbed(t, options{nodes: 3, domains: 4, engines: 8, services: 0, modelServers: 1, reclaimable: true, engineShape: shape + lag, entry: entry})
				if sc.disturb != nil {
					time.AfterFunc(3*time.Second, func() { sc.disturb(b) })
				}
				r := b.runLoad(b.callerAddrs(), sc.args...)
				t.Logf("| %s | %s | %.0f | %.0f | %.1f | %.1f%% | %d of %d | %d | %d | %.0f |", sc.name, p, r.FirstP50, r.FirstP95, r.BetweenP95, 100*r.Within, r.Prefilled, r.PromptTokens, r.Refused, r.Broken, r.TokensPS)
			})
		}
	}
}

// Three times the capacity of the engines, from two customers of weights 3 and 1.
func TestMeasureOverload(t *testing.T) {
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, services: 0, modelServers: 1,
		engineShape: "slots: 16, prefill_tps: 8000, step_ms: 15, step_per_seq: 0.4", entry: "limits: {first_token: 3s}"})
	args := []string{"--prefixes", "5", "--prefix-len", "20", "--own-len", "5", "--max-tokens", "40"}
	// 3 engines with 16 slots, 40 tokens per request, 21 ms per token.
	nearCapacity := b.runLoad(b.callerAddrs(), append([]string{"--rate", "50", "--duration", "15s"}, args...)...)
	capacity := 3.0 * 16 / (40 * 0.021) * 40
	t.Logf("capacity %.0f tokens/s; at about 0.9 of it: %.0f tokens/s, refused %d", capacity, nearCapacity.TokensPS, nearCapacity.Refused)
	r := b.runLoad(b.callerAddrs(), append([]string{"--rate", "171", "--duration", "60s", "--keys", rideKey + "," + clinicKey}, args...)...)
	t.Logf("at 3 times capacity for 60 s: %.0f tokens/s (%.0f%% of capacity), refused %d of %d %v, broken %d, refusal p99 %.1f ms, first token p95 %.0f ms", r.TokensPS, 100*r.TokensPS/capacity, r.Refused, r.Sent, r.RefusedByCode, r.Broken, r.RefusalP99, r.FirstP95)
	total := r.ByKey[0].Tokens + r.ByKey[1].Tokens
	t.Logf("shares by weight 3 to 1: %.1f%% and %.1f%%", 100*float64(r.ByKey[0].Tokens)/float64(total), 100*float64(r.ByKey[1].Tokens)/float64(total))
	for _, n := range b.nodes {
		t.Logf("%s resident %d MB", n.name, residentMB(n.cmd.Process.Pid))
	}
}

// A failure domain is reclaimed during an event while replacements are refused:
// the default planner compared with on-demand VMs only and without spreading.
func TestMeasureWave(t *testing.T) {
	for _, v := range []struct{ name, control string }{
		{"default planner", ""},
		{"on-demand only", ", on_demand_only: true"},
		{"reclaimable, not spread", ", spread: false"},
	} {
		t.Run(v.name, func(t *testing.T) {
			b := newTestbed(t, options{nodes: 3, domains: 3, engines: 0, modelServers: 0, offers: vmOffers, control: ", most_servers: 50" + v.control,
				engineShape: "slots: 16, prefill_tps: 8000, step_ms: 15, step_per_seq: 0.4", entry: "routing: {report: 500ms}"})
			b.createVia(0, newEvent("rides", time.Now().Add(4*time.Second), 4))
			b.eventually("in force", func() bool { return b.eventStatus("rides").Phase == event.InForce })
			before := b.cloudCost()
			start := time.Now()
			degraded := make(chan time.Duration, 1)
			time.AfterFunc(5*time.Second, func() {
				b.postAdmin(b.cloud, "faults", standin.CloudFaults{Refuse: []string{"all"}})
				b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{FailureDomain: "fd-a", Role: "engine", NoticeMS: 1000})
				time.AfterFunc(5*time.Second, func() { b.postAdmin(b.cloud, "faults", standin.CloudFaults{Refuse: []string{"fd-a"}}) })
			})
			go func() {
				total := time.Duration(0)
				for time.Since(start) < 24*time.Second {
					if b.eventStatus("rides").Phase != event.InForce {
						total += 100 * time.Millisecond
					}
					<-time.After(100 * time.Millisecond)
				}
				degraded <- total
			}()
			r := b.runLoad(b.callerAddrs(), "--rate", "55", "--prefixes", "20", "--prefix-len", "100", "--max-tokens", "40", "--duration", "24s")
			after := b.cloudCost()
			hours := time.Since(start).Hours()
			t.Logf("| %s | %.1f | %.1f%% | %.0f | %.0f | %d | %d | %.1f s |", v.name, (after.Price-before.Price)/hours, 100*r.Within, r.FirstP50, r.FirstP95, r.Refused, r.Broken, (<-degraded).Seconds())
		})
	}
}

// CPU time and memory of the data path, per request and per token.
func TestMeasurePath(t *testing.T) {
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 12, services: 1, modelServers: 1, engineShape: "step_ms: 10, step_per_seq: 0.02, prefill_tps: 200000, slots: 128"})
	cpu := func() (sum float64) {
		for _, n := range b.nodes {
			sum += cpuSeconds(n.cmd.Process.Pid)
		}
		return sum
	}
	for run := range 3 {
		for _, c := range []struct{ rate, tokens string }{{"300", "1"}, {"60", "40"}, {"60", "100"}} {
			from, start := cpu(), time.Now()
			r := b.runLoad(b.callerAddrs(), "--rate", c.rate, "--max-tokens", c.tokens, "--duration", "8s", "--prefix-len", "100", "--own-len", "5")
			used := cpu() - from
			t.Logf("run %d: %s requests/s of %s tokens: completed %d of %d, %.0f tokens/s; CPU %.0f us per request, at most %.1f us per token; resident %d MB; took %.1f s",
				run+1, c.rate, c.tokens, r.Completed, r.Sent, r.TokensPS, 1e6*used/float64(r.Completed), 1e6*used/(r.TokensPS*time.Since(start).Seconds()), residentMB(b.nodes[0].cmd.Process.Pid), time.Since(start).Seconds())
		}
	}
}
