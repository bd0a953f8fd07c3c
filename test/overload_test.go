package test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/standin"
)

// Other streams must make room for a customer of an event in force: they are
// paused, not aborted, and still return the same tokens.
func TestEventPreemptsOtherStreams(t *testing.T) {
	is := is.New(t)
	event := catalog.Resource{Kind: catalog.KindEvent, Name: "opening", Event: &catalog.Event{
		Start: time.Now().Add(-time.Minute), End: time.Now().Add(time.Hour), Models: []catalog.EventModel{{Name: "climb", Servers: 1}},
		Customers: []catalog.EventCustomer{{Name: "clinics", FirstTokenMS: 3000}}, Priority: 5,
	}}
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1, engineShape: "slots: 2, step_ms: 20", entry: "routing: {overshoot: 1, report: 200ms}", extra: []catalog.Resource{event}})
	const slots, streams, tokens = 6, 12, 150 // twice the slots, at least 3 s each
	want := b.nodes[0].send(chatRequest(longPrompt(0), tokens, true))
	started := make(chan int, streams)
	var responses []response
	done := make(chan struct{})
	go func() { responses = b.sendStreams(streams, tokens, started); close(done) }()
	for range slots {
		<-started
	}
	b.eventually("node 0 sees all engines full", func() bool {
		full := 0
		for _, u := range b.state(b.nodes[0]).Upstreams {
			if u.Busy >= 2 {
				full++
			}
		}
		return full == 3
	})
	urgent := chatRequest("When is the next chair free?", 10, true)
	urgent.bearer = clinicKey
	r := b.nodes[0].send(urgent)
	is.True(r.complete)
	is.True(r.duration < 2*time.Second) // the other streams would keep their slots longer
	<-done
	for _, s := range responses {
		is.True(s.complete)
		is.Equal(len(s.tokens), tokens)
	}
	is.Equal(responses[0].tokens, want.tokens)
	is.True(b.counterByLabel("tokens_carried", "cause")["yield"] > 0)
	t.Logf("urgent response after %d ms; tokens carried over by paused streams %v, recomputed %v", r.duration.Milliseconds(), b.counterByLabel("tokens_carried", "cause"), b.counterByLabel("tokens_recomputed", "cause"))
}

// Guards against an urgent request that waits for the slots of its event, as none of the streams
// that hold them came through its own node.
func TestEventPreemptsStreamsOfOtherNodes(t *testing.T) {
	is := is.New(t)
	event := catalog.Resource{Kind: catalog.KindEvent, Name: "opening", Event: &catalog.Event{
		Start: time.Now().Add(-time.Minute), End: time.Now().Add(time.Hour), Models: []catalog.EventModel{{Name: "climb", Servers: 1}},
		Customers: []catalog.EventCustomer{{Name: "clinics", FirstTokenMS: 3000}}, Priority: 5,
	}}
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1, engineShape: "slots: 2, step_ms: 20", entry: "routing: {overshoot: 1, report: 200ms}", extra: []catalog.Resource{event}})
	const streams, tokens = 12, 150 // twice the slots, at least 3 s each
	responses := make([]response, streams)
	done := make(chan struct{})
	go func() {
		defer close(done)
		runConcurrently(streams, func(i int) { responses[i] = b.nodes[1+i%2].send(chatRequest(longPrompt(i), tokens, true)) })
	}()
	b.eventually("node 0 sees all engines full", func() bool {
		full := 0
		for _, u := range b.state(b.nodes[0]).Upstreams {
			if u.Busy >= 2 {
				full++
			}
		}
		return full == 3
	})
	urgent := chatRequest("When is the next chair free?", 10, true)
	urgent.bearer = clinicKey
	r := b.nodes[0].send(urgent)
	t.Logf("urgent response after %d ms", r.duration.Milliseconds())
	is.True(r.complete)
	is.True(r.duration < 2*time.Second) // the other streams would keep their slots longer
	<-done
	for _, s := range responses {
		is.True(s.complete)
		is.Equal(len(s.tokens), tokens)
	}
}

// Requests that cannot be served in time must be refused within a second, with a
// Retry-After-Ms.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, modelServers: 1, engineShape: "slots: 2, step_ms: 20", entry: "limits: {first_token: 500ms}"})
	responses := make([]response, 60)
	runConcurrently(60, func(i int) { responses[i] = b.nodes[i%3].send(chatRequest(longPrompt(i), 60, true)) })
	served, refused := 0, 0
	for _, r := range responses {
		switch {
		case r.complete:
			served++
		case r.outcome == "not-run" && r.retryAfter != "" && strings.Contains(r.body, "overload"):
			refused++
			is.True(r.duration < time.Second)
		default:
			t.Errorf("%+v", r)
		}
	}
	is.Equal(served+refused, 60)
	is.True(served > 0 && refused > 0)
}

// A service's timeout must end a call even if the caller's deadline is later.
func TestServiceTimeLimit(t *testing.T) {
	is := is.New(t)
	slow := catalog.Resource{Kind: catalog.KindService, Name: "booking", Service: &catalog.Service{TimeoutMS: 200}}
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, services: 1, modelServers: 1, extra: []catalog.Resource{slow}})
	b.postAdmin(b.services[0], "faults", standin.ServiceFaults{Hang: true})
	r := b.nodes[0].send(bookingRequest("hung"))
	is.Equal(r.outcome, "may-have-run")
	is.True(r.duration < 2*time.Second)
}

// A request must fail before its deadline if every engine has stalled.
func TestAllEnginesStalled(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1, entry: "routing: {stall: 300ms}"})
	for _, e := range b.engines {
		b.postAdmin(e.addr, "faults", standin.EngineFaults{Hang: true})
	}
	r := b.nodes[0].send(chatRequest("hello", 5, false).withHeader("Crankridge-Deadline-Ms", "60000"))
	is.Equal(r.outcome, "may-have-run")
	is.True(r.retryAfter != "")
	is.True(strings.Contains(r.body, "upstream_stalled"))
	is.True(r.duration < 10*time.Second)
}

// A customer must not get its limit once at each node.
func TestCustomerLimitHoldsOverAllNodes(t *testing.T) {
	is := is.New(t)
	limited := catalog.Resource{Kind: catalog.KindCustomer, Name: "limited", Customer: &catalog.Customer{KeySHA256: catalog.HashKey("limited-key"), Weight: 1, RequestsPS: 20}}
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1, engineShape: "step_ms: 1", extra: []catalog.Resource{limited}})
	start := time.Now()
	const callers = 6
	served := make([]int, callers)
	runConcurrently(callers, func(i int) {
		for time.Since(start) < 5*time.Second {
			req := chatRequest("short", 1, false)
			req.bearer = "limited-key"
			if b.nodes[i%3].send(req).status == http.StatusOK {
				served[i]++
			}
		}
	})
	total := 0
	for _, n := range served {
		total += n
	}
	t.Logf("%d served in %s at a limit of 20/s", total, time.Since(start).Round(time.Millisecond))
	is.True(total >= 70 && total <= 150) // 100, and an initial burst of one second of each node's share
}

// A caller that stops reading must not block others, and can resume its response
// at another node.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1, engineShape: "step_ms: 1", entry: "limits: {write_stall: 300ms, orphan: 20s, answer_bytes: 4000000}"})
	req := chatRequest("A very long story.", 6000, true)
	conn, err := net.Dial("tcp", b.nodes[0].callers)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(1024)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: slow\r\nContent-Length: %d\r\n\r\n%s", req.path, rideKey, len(req.body), req.body)
	line, err := bufio.NewReaderSize(conn, 16).ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(line, "200"))
	is.True(b.nodes[0].send(chatRequest("hello", 3, true)).complete)
	resumed := b.nodes[1].send(req.withHeader("Idempotency-Key", "slow").withHeader("Last-Event-ID", "5990"))
	is.True(resumed.complete)
	is.Equal(resumed.eventIDs[0], 5991)
}

// A response must end, as a complete stream, where it reaches answer_bytes.
func TestResponseSizeLimit(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, modelServers: 1, engineShape: "step_ms: 1", entry: "limits: {answer_bytes: 1024}"})
	r := b.nodes[0].send(chatRequest("A long story.", 5000, true))
	is.True(r.complete)
	size := len(strings.Join(r.tokens, ""))
	is.True(size >= 1024 && size < 1100)
}

// When a failure domain loses its entry nodes and engines without notice, callers
// resume their streams at other nodes and get the remaining tokens.
func TestFailureDomainLoss(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 6, domains: 3, engines: 6, services: 2, modelServers: 1, reclaimable: true})
	const n, tokens = 30, 200
	want := make([]response, n)
	runConcurrently(n, func(i int) { want[i] = b.nodes[1].send(chatRequest(longPrompt(i), tokens, true)) })
	tokenIDs := make(chan int, n*tokens)
	got := make([]response, n)
	done := make(chan struct{})
	go func() {
		runConcurrently(n, func(i int) {
			req := chatRequest(longPrompt(i), tokens, true).withHeader("Idempotency-Key", fmt.Sprintf("lost-%d", i))
			req.tokenIDs = tokenIDs
			got[i] = b.nodes[i%6].send(req)
			for attempt := 1; !got[i].complete && attempt < 8; attempt++ {
				<-time.After(100 * time.Millisecond)
				req.tokenIDs = nil
				rest := b.nodes[(i+attempt)%6].send(req.withHeader("Last-Event-ID", fmt.Sprint(len(got[i].tokens))))
				got[i].tokens = append(got[i].tokens, rest.tokens...)
				got[i].complete = rest.complete
			}
		})
		close(done)
	}()
	for range n * 20 {
		<-tokenIDs
	}
	for _, e := range b.engines {
		if e.domain == "fd-b" {
			e.signal(syscall.SIGKILL)
		}
	}
	// Nodes 1 and 4 are in fd-b.
	b.nodes[1].signal(syscall.SIGKILL)
	b.nodes[4].signal(syscall.SIGKILL)
	for range n*tokens - n*20 {
		select {
		case <-tokenIDs:
		case <-done:
		}
	}
	<-done
	for i := range got {
		is.True(got[i].complete)
		is.Equal(got[i].tokens, want[i].tokens)
	}
	t.Logf("tokens carried over %v, recomputed %v", b.counterByLabel("tokens_carried", "cause"), b.counterByLabel("tokens_recomputed", "cause"))
}

// A key-value service that delays every call by 500 ms must not slow down requests.
func TestKeyValueServiceSlow(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)
	b.kvFaults(standin.KVFaults{DelayMS: 500})
	runConcurrently(30, func(i int) {
		r := b.nodes[i%3].send(bookingRequest(fmt.Sprintf("slow-%d", i)))
		if r.status != http.StatusOK || r.duration > time.Second {
			t.Errorf("status %d after %s", r.status, r.duration)
		}
	})
	version := b.apply(catalog.Resource{Kind: catalog.KindModel, Name: "slow", Model: &catalog.Model{Bytes: 1, Version: "1"}})
	b.eventually("in force", func() bool { return b.rolloutStatus(version).Have == 3 })
	is.Equal(len(b.runCounts()), 30)
}
