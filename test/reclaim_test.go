package test

import (
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/standin"
)

// metric adds up a counter over all nodes, by the named label.
func (b *testbed) counterByLabel(name, label string) map[string]float64 {
	line := regexp.MustCompile(`(?m)^crankridge_` + name + `_total\{.*?` + label + `="([^"]*)".*?\} ([0-9.e+]+)$`)
	out := map[string]float64{}
	for _, n := range b.nodes {
		req, _ := http.NewRequest(http.MethodGet, "http://"+n.operators+"/metrics", nil)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		raw, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		for _, m := range line.FindAllStringSubmatch(string(raw), -1) {
			v, _ := strconv.ParseFloat(m[2], 64)
			out[m[1]] += v
		}
	}
	return out
}

func longPrompt(i int) string {
	return fmt.Sprintf("Ride %d. ", i) + strings.Repeat("The route begins at the old mill and follows the river. ", 20)
}

// streams sends n streams over the nodes; begun is told of each first token.
func (b *testbed) sendStreams(n, tokens int, started chan<- int) []response {
	out := make([]response, n)
	runConcurrently(n, func(i int) {
		a := chatRequest(longPrompt(i), tokens, true)
		ids := make(chan int, tokens+1)
		a.tokenIDs = ids
		go func() {
			<-ids
			if started != nil {
				started <- i
			}
		}()
		out[i] = b.nodes[i%len(b.nodes)].send(a)
		close(ids)
	})
	return out
}

// reclaimDomain takes back a domain's engines as the cloud does: with a
// notice, and at its end the VMs are gone whatever runs on them.
func (b *testbed) reclaimDomain(domain string, notice time.Duration) (gone <-chan struct{}) {
	b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{FailureDomain: domain, Role: "engine", NoticeMS: notice.Milliseconds()})
	done := make(chan struct{})
	go func() {
		<-time.After(notice)
		for _, e := range b.engines {
			if e.domain == domain {
				e.kill()
			}
		}
		close(done)
	}()
	return done
}

// Today's size, scaled down only in the speed of its engines: 9 nodes and 24
// engines in 4 failure domains, one of which is taken back under load.
func TestDomainReclaimedUnderStreams(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 9, domains: 4, engines: 24, services: 1, modelServers: 1, reclaimable: true,
		engineShape: "step_ms: 12, prefill_tps: 20000, move_tps: 50000"})
	const n, tokens = 96, 600 // 7 s or more each: longer than the notice
	started := make(chan int, n)
	var got []response
	done := make(chan struct{})
	go func() { got = b.sendStreams(n, tokens, started); close(done) }()
	for range n {
		<-started
	}
	gone := b.reclaimDomain("fd-b", 5*time.Second)
	<-done
	<-gone
	lost, doubled := 0, 0
	for _, r := range got {
		if !r.complete {
			lost++
			t.Log(r.status, r.outcome, r.body, r.err, len(r.tokens))
		}
		for i, id := range r.eventIDs {
			if id != i+1 {
				doubled++
			}
		}
	}
	is.Equal(lost, 0)
	is.Equal(doubled, 0)
	carried, again := b.counterByLabel("tokens_carried", "cause"), b.counterByLabel("tokens_recomputed", "cause")
	t.Logf("moves %v; streams went on with %v tokens, of which computed again %v", b.counterByLabel("moves", "how"), carried, again)
	is.True(carried["reclaim"] > 0)
	is.True(again["reclaim"] < carried["reclaim"]/5) // starting again from the prompt computes all of them
	undisturbed := b.sendStreams(n, tokens, nil)
	for i := range got {
		is.Equal(got[i].tokens, undisturbed[i].tokens)
	}
}

// A leaving engine gets no new work within 3 s of the first sign, on any node.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name string
		sign func(b *testbed, e *engineProc)
	}{
		{"the cloud's notice", func(b *testbed, e *engineProc) {
			b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: e.name, NoticeMS: 60000})
		}},
		{"the engine's own word", func(b *testbed, e *engineProc) {
			b.postAdmin(e.addr, "leave", map[string]int64{"deadline_ms": time.Now().Add(time.Minute).UnixMilli()})
		}},
		{"a lost connection", func(_ *testbed, e *engineProc) { e.signal(syscall.SIGKILL) }},
		{"the cloud's notice, key-value service down", func(b *testbed, e *engineProc) {
			b.kvFaults(standin.KVFaults{Down: true})
			b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: e.name, NoticeMS: 60000})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, options{nodes: 5, domains: 3, engines: 3, services: 1, modelServers: 1, entry: "routing: {report: 500ms}"})
			e := b.engines[1]
			start := time.Now()
			c.sign(b, e)
			b.eventually("every node avoids the engine", func() bool {
				for _, n := range b.nodes {
					for _, u := range b.state(n).Upstreams {
						if u.Name == e.name && !u.Leaving && !u.Ejected {
							return false
						}
					}
				}
				return true
			})
			took := time.Since(start)
			t.Logf("avoided on all nodes after %d ms", took.Milliseconds())
			is.True(took < 3*time.Second)
			if c.name == "a lost connection" {
				return
			}
			var before, after standin.EngineTotals
			getJSON("http://"+e.addr+"/admin/totals", "", &before)
			runConcurrently(60, func(i int) { b.nodes[i%5].send(chatRequest(longPrompt(i), 3, false)) })
			getJSON("http://"+e.addr+"/admin/totals", "", &after)
			is.Equal(after.Streams, before.Streams)
		})
	}
}

// A caller whose node dies takes its stream up at another node: each token
// once, in order, and nothing is computed again while the engine lives.
func TestResumeAtAnotherNode(t *testing.T) {
	for _, c := range []struct {
		name  string
		lose  func(b *testbed)
		given bool // the caller gave the key itself
	}{
		{"node killed", func(b *testbed) { b.nodes[0].kill() }, true},
		{"node killed, key issued by it", func(b *testbed) { b.nodes[0].kill() }, false},
		{"node and engines' connections cut", func(b *testbed) {
			b.nodes[0].kill()
			for _, e := range b.engines {
				b.postAdmin(e.addr, "faults", map[string]int{"cut_after": 20})
			}
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, smallSystem)
			want := b.nodes[1].send(chatRequest(longPrompt(1), 120, true))
			decoded := b.decodedTokens()
			a := chatRequest(longPrompt(1), 120, true)
			if c.given {
				a = a.withHeader("Idempotency-Key", "narrative-1")
			}
			ids := make(chan int, 200)
			a.tokenIDs = ids
			var once sync.Once
			go func() {
				for id := range ids {
					if id == 30 {
						once.Do(func() { c.lose(b) })
					}
				}
			}()
			first := b.nodes[0].send(a)
			is.True(!first.complete)
			last := first.eventIDs[len(first.eventIDs)-1]
			a.tokenIDs = nil
			a = a.withHeader("Idempotency-Key", first.key).withHeader("Last-Event-ID", strconv.Itoa(last))
			rest := b.nodes[1].send(a)
			is.True(rest.complete)
			is.Equal(rest.eventIDs[0], last+1)
			is.Equal(append(first.tokens, rest.tokens...), want.tokens)
			t.Logf("%d tokens before, %d after, %d decoded in all", len(first.tokens), len(rest.tokens), b.decodedTokens()-decoded)
			is.Equal(b.decodedTokens()-decoded, int64(120)) // nothing twice
		})
	}
}

func (b *testbed) decodedTokens() int64 {
	sum := int64(0)
	for _, e := range b.engines {
		var totals standin.EngineTotals
		getJSON("http://"+e.addr+"/admin/totals", "", &totals)
		sum += totals.Decoded
	}
	return sum
}

// An engine that accepts and then makes no progress is found by that.
func TestHungEngine(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, services: 1, modelServers: 1, entry: "routing: {stall: 500ms}"})
	b.postAdmin(b.engines[0].addr, "faults", standin.EngineFaults{Hang: true})
	got := b.sendStreams(30, 20, nil)
	for _, r := range got {
		is.True(r.complete)
		is.True(r.duration < 8*time.Second)
	}
}

// A reclaim notice on the VM of an entry node: what fits in it ends there, the
// rest goes on at another node.
func TestEntryNodeReclaimed(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, services: 1, modelServers: 1, engineShape: "step_ms: 20"})
	want := b.nodes[1].send(chatRequest(longPrompt(2), 300, true))
	ids := make(chan int, 400)
	a := chatRequest(longPrompt(2), 300, true).withHeader("Idempotency-Key", "long")
	a.tokenIDs = ids
	first := make(chan response, 1)
	go func() { first <- b.nodes[0].send(a) }()
	<-ids
	b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: b.nodes[0].name, NoticeMS: 3000})
	r := <-first
	is.True(!r.complete) // six seconds do not fit in three
	is.Equal(r.outcome, "may-have-run")
	a.tokenIDs = nil
	rest := b.nodes[1].send(a.withHeader("Last-Event-ID", strconv.Itoa(len(r.eventIDs))))
	is.True(rest.complete)
	is.Equal(append(r.tokens, rest.tokens...), want.tokens)
	is.True(b.nodes[0].waitExit(stopTimeout))
}
