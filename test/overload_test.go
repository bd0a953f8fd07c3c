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

// Streams of no event make room for a customer of an event in force. They are
// paused, not cut, and end with the tokens they would have had.
func TestEventPreemptsOtherStreams(t *testing.T) {
	is := is.New(t)
	event := catalog.Resource{Kind: catalog.KindEvent, Name: "opening", Event: &catalog.Event{
		Start: time.Now().Add(-time.Minute), End: time.Now().Add(time.Hour), Models: []catalog.EventModel{{Name: "climb", Servers: 1}},
		Customers: []catalog.EventCustomer{{Name: "clinics", FirstTokenMS: 3000}}, Priority: 5,
	}}
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1, engineShape: "slots: 2, step_ms: 20", entry: "routing: {overshoot: 1, report: 200ms}", extra: []catalog.Resource{event}})
	const slots, low, tokens = 6, 12, 150 // twice what fits, 3 s and more each
	want := b.nodes[0].send(chatRequest(longPrompt(0), tokens, true))
	started := make(chan int, low)
	var streams []response
	done := make(chan struct{})
	go func() { streams = b.sendStreams(low, tokens, started); close(done) }()
	for range slots {
		<-started
	}
	b.eventually("node 0 knows that all engines are full", func() bool {
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
	is.True(r.duration < 2*time.Second) // the others hold their slots for longer
	<-done
	for _, s := range streams {
		is.True(s.complete)
		is.Equal(len(s.tokens), tokens)
	}
	is.Equal(streams[0].tokens, want.tokens)
	is.True(b.counterByLabel("tokens_carried", "cause")["yield"] > 0)
	t.Logf("urgent answer after %d ms; paused streams went on with %v tokens, computed again %v", r.duration.Milliseconds(), b.counterByLabel("tokens_carried", "cause"), b.counterByLabel("tokens_recomputed", "cause"))
}

// What cannot be served in time is refused at once, with the time to come back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, modelServers: 1, engineShape: "slots: 2, step_ms: 20", entry: "limits: {first_token: 500ms}"})
	replies := make([]response, 60)
	runConcurrently(60, func(i int) { replies[i] = b.nodes[i%3].send(chatRequest(longPrompt(i), 60, true)) })
	served, refused := 0, 0
	for _, r := range replies {
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

// A service's own time limit ends a call, whatever the caller would wait.
func TestServiceTimeLimit(t *testing.T) {
	is := is.New(t)
	slow := catalog.Resource{Kind: catalog.KindService, Name: "booking", Service: &catalog.Service{TimeoutMS: 200}}
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, services: 1, modelServers: 1, extra: []catalog.Resource{slow}})
	b.postAdmin(b.services[0], "faults", standin.ServiceFaults{Hang: true})
	r := b.nodes[0].send(bookingRequest("hung"))
	is.Equal(r.outcome, "may-have-run")
	is.True(r.duration < 2*time.Second)
}

// When no engine gives a token, the request is given up and not held until
// its deadline.
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

func TestCustomerLimitHoldsOverAllNodes(t *testing.T) {
	is := is.New(t)
	limited := catalog.Resource{Kind: catalog.KindCustomer, Name: "limited", Customer: &catalog.Customer{KeySHA256: catalog.HashKey("limited-key"), Weight: 1, RequestsPS: 20}}
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1, engineShape: "step_ms: 1", extra: []catalog.Resource{limited}})
	start := time.Now()
	const callers = 6
	served := make([]int, callers)
	runConcurrently(callers, func(i int) {
		for time.Since(start) < 5*time.Second {
			a := chatRequest("short", 1, false)
			a.bearer = "limited-key"
			if b.nodes[i%3].send(a).status == http.StatusOK {
				served[i]++
			}
		}
	})
	total := 0
	for _, n := range served {
		total += n
	}
	t.Logf("%d served in %s at a limit of 20/s", total, time.Since(start).Round(time.Millisecond))
	is.True(total >= 70 && total <= 150) // 100, with a second's burst at each node to begin with
}

// A reader that takes nothing holds up nobody, and its answer is there to be
// taken up at another node.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1, engineShape: "step_ms: 1", entry: "limits: {write_stall: 300ms, orphan: 20s, answer_bytes: 4000000}"})
	a := chatRequest("A very long story.", 6000, true)
	conn, err := net.Dial("tcp", b.nodes[0].callers)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(1024)
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: slow\r\nContent-Length: %d\r\n\r\n%s", a.path, rideKey, len(a.body), a.body)
	line, err := bufio.NewReaderSize(conn, 16).ReadString('\n')
	is.NoErr(err)
	is.True(strings.Contains(line, "200"))
	is.True(b.nodes[0].send(chatRequest("hello", 3, true)).complete)
	whole := b.nodes[1].send(a.withHeader("Idempotency-Key", "slow").withHeader("Last-Event-ID", "5990"))
	is.True(whole.complete)
	is.Equal(whole.eventIDs[0], 5991)
}

func TestResponseSizeLimit(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, modelServers: 1, engineShape: "step_ms: 1", entry: "limits: {answer_bytes: 1024}"})
	r := b.nodes[0].send(chatRequest("A long story.", 5000, true))
	is.True(r.complete)
	size := len(strings.Join(r.tokens, ""))
	is.True(size >= 1024 && size < 1100)
}

// All of a failure domain's VMs are lost at once, entry node and engines
// alike, without a word. Callers come back elsewhere and get the rest.
func TestFailureDomainLoss(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 6, domains: 3, engines: 6, services: 2, modelServers: 1, reclaimable: true})
	const n, tokens = 30, 200
	want := make([]response, n)
	runConcurrently(n, func(i int) { want[i] = b.nodes[1].send(chatRequest(longPrompt(i), tokens, true)) })
	started := make(chan int, n*tokens)
	got := make([]response, n)
	done := make(chan struct{})
	go func() {
		runConcurrently(n, func(i int) {
			a := chatRequest(longPrompt(i), tokens, true).withHeader("Idempotency-Key", fmt.Sprintf("lost-%d", i))
			a.tokenIDs = started
			got[i] = b.nodes[i%6].send(a)
			for try := 1; !got[i].complete && try < 8; try++ {
				<-time.After(100 * time.Millisecond)
				a.tokenIDs = nil
				rest := b.nodes[(i+try)%6].send(a.withHeader("Last-Event-ID", fmt.Sprint(len(got[i].tokens))))
				got[i].tokens = append(got[i].tokens, rest.tokens...)
				got[i].complete = rest.complete
			}
		})
		close(done)
	}()
	for range n * 20 {
		<-started
	}
	for _, e := range b.engines {
		if e.domain == "fd-b" {
			e.signal(syscall.SIGKILL)
		}
	}
	b.nodes[1].signal(syscall.SIGKILL)
	b.nodes[4].signal(syscall.SIGKILL)
	for range n*tokens - n*20 {
		select {
		case <-started:
		case <-done:
		}
	}
	<-done
	for i := range got {
		is.True(got[i].complete)
		is.Equal(got[i].tokens, want[i].tokens)
	}
	t.Logf("streams went on with %v tokens, computed again %v", b.counterByLabel("tokens_carried", "cause"), b.counterByLabel("tokens_recomputed", "cause"))
}

// The key-value service answers every call half a second late.
func TestKeyValueServiceSlow(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)
	b.kvFaults(standin.KVFaults{DelayMS: 500})
	runConcurrently(30, func(i int) {
		r := b.nodes[i%3].send(bookingRequest(fmt.Sprintf("slow-%d", i)))
		if r.status != http.StatusOK || r.duration > time.Second {
			t.Errorf("%d after %s", r.status, r.duration)
		}
	})
	version := b.apply(catalog.Resource{Kind: catalog.KindModel, Name: "slow", Model: &catalog.Model{Bytes: 1, Version: "1"}})
	b.eventually("in force", func() bool { return b.rolloutStatus(version).Have == 3 })
	is.Equal(len(b.runCounts()), 30)
}
