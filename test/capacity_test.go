//go:build measure

package test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crankridge/crankridge/src/catalog"
)

// usage is a reading of the resources that the system has used so far.
type usage struct {
	at       time.Time
	channels map[string]int64 // bytes in and out, all nodes
	cpu      float64          // CPU seconds of all nodes
	control  float64          // CPU seconds of the first crank-control
	calls    map[string]int64 // to the key-value service, by kind
	loopback int64            // bytes received on the loopback interface, packet headers included
}

func (b *testbed) usage() usage {
	u := usage{channels: map[string]int64{}, calls: map[string]int64{}}
	for _, n := range b.nodes {
		for channel, v := range b.state(n).Traffic {
			u.channels[channel] += v[0] + v[1]
		}
	}
	for _, n := range b.nodes {
		u.cpu += cpuSeconds(n.cmd.Process.Pid)
	}
	u.control = cpuSeconds(b.controlProcs[0].cmd.Process.Pid)
	_ = getJSON("http://"+b.kv+"/admin/calls", "", &u.calls)
	u.loopback = loopbackBytes()
	u.at = time.Now()
	return u
}

func loopbackBytes() int64 {
	raw, _ := os.ReadFile("/proc/net/dev")
	for _, line := range strings.Split(string(raw), "\n") {
		name, rest, ok := strings.Cut(line, ":")
		if ok && strings.TrimSpace(name) == "lo" {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}

// logNodeUsage logs a table row of what one node used per second between two readings.
func (b *testbed) logNodeUsage(t *testing.T, what string, from, to usage) {
	n, s := float64(len(b.nodes)), to.at.Sub(from.at).Seconds()
	rate := func(channel string) float64 { return float64(to.channels[channel]-from.channels[channel]) / n / s }
	total := rate("kv") + rate("peers_in") + rate("peers_out") + rate("engines")
	var calls []string
	for _, kind := range []string{"range", "txn", "grant", "keepalive", "watch"} {
		calls = append(calls, fmt.Sprintf("%s %.2f", kind, float64(to.calls[kind]-from.calls[kind])/s))
	}
	var memory []int
	for _, node := range b.nodes {
		memory = append(memory, residentMB(node.cmd.Process.Pid))
	}
	slices.Sort(memory)
	t.Logf("| %d | %s | %.0f | %.0f | %.0f | %.0f | %.0f | %.2f%% | %d | %d | %s |", len(b.nodes), what, total, rate("kv"), rate("peers_in"), rate("peers_out"), rate("engines"),
		100*(to.cpu-from.cpu)/n/s, memory[len(memory)/2], memory[len(memory)-1], strings.Join(calls, ", "))
	for i, p := range b.controlProcs {
		t.Logf("  crank-control %d: CPU %.2f%%, resident %d MB", i, 100*(to.control-from.control)/s, residentMB(p.cmd.Process.Pid))
	}
	t.Logf("  loopback bytes/s per node, packet headers and the measurement included: %.0f", float64(to.loopback-from.loopback)/n/s)
}

// Control traffic, CPU time, memory, calls to the key-value service and rollout time
// of a change with default settings, for the node counts in CAPACITY_NODES.
func TestMeasureCapacity(t *testing.T) {
	sizes := os.Getenv("CAPACITY_NODES")
	if sizes == "" {
		sizes = "3,9,27,81,160"
	}
	const idle, changes = 12 * time.Second, 10
	t.Log("| nodes | state | bytes/s per node | kv | peers in | peers out | engines | CPU | median memory MB | max memory MB | calls/s to the key-value service, all nodes |")
	for _, size := range strings.Split(sizes, ",") {
		n, _ := strconv.Atoi(size)
		b := newTestbed(t, options{nodes: n, domains: 4, engines: 24, services: 4, modelServers: 1, direct: true, exchange: "interval: 1s, lease: 60s"})
		for run := range 3 {
			from := b.usage()
			<-time.After(idle)
			to := b.usage()
			b.logNodeUsage(t, fmt.Sprintf("idle, run %d", run+1), from, to)
			var rolloutTimes []time.Duration
			from = b.usage()
			for i := range changes {
				start := time.Now()
				version := b.apply(catalog.Resource{Kind: catalog.KindModel, Name: "changing", Model: &catalog.Model{Bytes: int64(run*changes + i + 1), Version: "1"}})
				b.eventually("in force", func() bool { return b.rolloutStatus(version).Have == n })
				rolloutTimes = append(rolloutTimes, time.Since(start))
				<-time.After(time.Until(start.Add(300 * time.Millisecond)))
			}
			to = b.usage()
			b.logNodeUsage(t, fmt.Sprintf("3 changes/s, run %d", run+1), from, to)
			t.Logf("  change in force on all %d nodes: p50 %.0f ms, max %.0f ms", n, quantileMS(rolloutTimes, .5), quantileMS(rolloutTimes, 1))
		}
		for _, node := range b.nodes {
			node.kill()
		}
		for _, p := range append(b.controlProcs, b.standins) {
			p.kill()
		}
		for _, e := range b.engines {
			e.kill()
		}
	}
}
