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

// counterByLabel sums a counter over all nodes, by the value of the named label.
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

// longPrompt returns a prompt of about 1,100 characters, distinct for each i.
func longPrompt(i int) string {
	return fmt.Sprintf("Ride %d. ", i) + strings.Repeat("The route begins at the old mill and follows the river. ", 20)
}

// sendStreams sends n streams, spread over the nodes, and sends the index of each to
// started, if not nil, at its first token.
func (b *testbed) sendStreams(n, tokens int, started chan<- int) []response {
	out := make([]response, n)
	runConcurrently(n, func(i int) {
		req := chatRequest(longPrompt(i), tokens, true)
		ids := make(chan int, tokens+1)
		req.tokenIDs = ids
		go func() {
			<-ids
			if started != nil {
				started <- i
			}
		}()
		out[i] = b.nodes[i%len(b.nodes)].send(req)
		close(ids)
	})
	return out
}

// reclaimDomain sends the reclaim notice for a domain's engines and kills them when
// it expires; the returned channel is then closed.
func (b *testbed) reclaimDomain(domain string, notice time.Duration) (killed <-chan struct{}) {
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

// No stream may be lost, or repeat or skip a token, when one of 4 failure domains
// is reclaimed under load.
func TestDomainReclaimedUnderStreams(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 9, domains: 4, engines: 24, services: 1, modelServers: 1, reclaimable: true,
		engineShape: "step_ms: 12, prefill_tps: 20000, move_tps: 50000"})
	const n, tokens = 96, 600 // at least 7 s each, longer than the notice
	started := make(chan int, n)
	var got []response
	done := make(chan struct{})
	go func() { got = b.sendStreams(n, tokens, started); close(done) }()
	for range n {
		<-started
	}
	killed := b.reclaimDomain("fd-b", 5*time.Second)
	<-done
	<-killed
	lost, misnumbered := 0, 0
	for _, r := range got {
		if !r.complete {
			lost++
			t.Log(r.status, r.outcome, r.body, r.err, len(r.tokens))
		}
		for i, id := range r.eventIDs {
			if id != i+1 {
				misnumbered++
			}
		}
	}
	is.Equal(lost, 0)
	is.Equal(misnumbered, 0)
	carried, recomputed := b.counterByLabel("tokens_carried", "cause"), b.counterByLabel("tokens_recomputed", "cause")
	t.Logf("moves %v; tokens carried over %v, of which recomputed %v", b.counterByLabel("moves", "how"), carried, recomputed)
	is.True(carried["reclaim"] > 0)
	is.True(recomputed["reclaim"] < carried["reclaim"]/5) // a restart from the prompt would recompute all
	undisturbed := b.sendStreams(n, tokens, nil)
	for i := range got {
		is.Equal(got[i].tokens, undisturbed[i].tokens)
	}
}

// Within 3 s of the first sign that an engine leaves, no node may send it new requests.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(b *testbed, e *engineProc)
	}{
		{"reclaim notice from the cloud", func(b *testbed, e *engineProc) {
			b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: e.name, NoticeMS: 60000})
		}},
		{"announced by the engine", func(b *testbed, e *engineProc) {
			b.postAdmin(e.addr, "leave", map[string]int64{"deadline_ms": time.Now().Add(time.Minute).UnixMilli()})
		}},
		{"connection lost", func(_ *testbed, e *engineProc) { e.signal(syscall.SIGKILL) }},
		{"reclaim notice, key-value service down", func(b *testbed, e *engineProc) {
			b.kvFaults(standin.KVFaults{Down: true})
			b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: e.name, NoticeMS: 60000})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, options{nodes: 5, domains: 3, engines: 3, services: 1, modelServers: 1, entry: "routing: {report: 500ms}"})
			e := b.engines[1]
			start := time.Now()
			c.leave(b, e)
			b.eventually("no node uses the engine", func() bool {
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
			t.Logf("unused by all nodes after %d ms", took.Milliseconds())
			is.True(took < 3*time.Second)
			if c.name == "connection lost" { // the engine was killed and has no totals
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

// A caller whose node dies resumes its stream at another node: every token arrives
// once, in order, and none is recomputed.
func TestResumeAtAnotherNode(t *testing.T) {
	for _, c := range []struct {
		name        string
		fail        func(b *testbed)
		keyProvided bool // by the caller
	}{
		{"node killed", func(b *testbed) { b.nodes[0].kill() }, true},
		{"node killed, key issued by it", func(b *testbed) { b.nodes[0].kill() }, false},
		{"node killed, engine connections cut", func(b *testbed) {
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
			decodedBefore := b.decodedTokens()
			req := chatRequest(longPrompt(1), 120, true)
			if c.keyProvided {
				req = req.withHeader("Idempotency-Key", "narrative-1")
			}
			ids := make(chan int, 200)
			req.tokenIDs = ids
			var once sync.Once
			go func() {
				for id := range ids {
					if id == 30 {
						once.Do(func() { c.fail(b) })
					}
				}
			}()
			first := b.nodes[0].send(req)
			is.True(!first.complete)
			last := first.eventIDs[len(first.eventIDs)-1]
			req.tokenIDs = nil
			req = req.withHeader("Idempotency-Key", first.key).withHeader("Last-Event-ID", strconv.Itoa(last))
			rest := b.nodes[1].send(req)
			is.True(rest.complete)
			is.Equal(rest.eventIDs[0], last+1)
			is.Equal(append(first.tokens, rest.tokens...), want.tokens)
			t.Logf("%d tokens before the failure, %d after it, %d decoded in total", len(first.tokens), len(rest.tokens), b.decodedTokens()-decodedBefore)
			is.Equal(b.decodedTokens()-decodedBefore, int64(120)) // no token was recomputed
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

// Requests must complete although an engine accepts them and makes no progress.
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

// After a reclaim notice for an entry node, a stream that would outlast it is ended
// and can be resumed at another node.
func TestEntryNodeReclaimed(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, services: 1, modelServers: 1, engineShape: "step_ms: 20"})
	want := b.nodes[1].send(chatRequest(longPrompt(2), 300, true))
	ids := make(chan int, 400)
	req := chatRequest(longPrompt(2), 300, true).withHeader("Idempotency-Key", "long")
	req.tokenIDs = ids
	first := make(chan response, 1)
	go func() { first <- b.nodes[0].send(req) }()
	<-ids
	b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: b.nodes[0].name, NoticeMS: 3000})
	r := <-first
	is.True(!r.complete) // the stream takes 6 s, the notice is 3 s
	is.Equal(r.outcome, "may-have-run")
	req.tokenIDs = nil
	rest := b.nodes[1].send(req.withHeader("Last-Event-ID", strconv.Itoa(len(r.eventIDs))))
	is.True(rest.complete)
	is.Equal(append(r.tokens, rest.tokens...), want.tokens)
	is.True(b.nodes[0].waitExit(stopTimeout))
}
