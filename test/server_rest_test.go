package test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/platform/fake"
	"github.com/crankridge/crankridge/src/standin"
)

const (
	restGrace    = 500 * time.Millisecond // after an answer with Retry-After, in which requests may still arrive
	restExceeded = 2                      // requests of a node that may arrive in the rest of a server
	drainTime    = 2 * time.Second        // after which a leaving server gets nothing more
	restInterval = 10 * time.Millisecond  // between the requests of a node
)

// nodeOf returns the node that a request of startLoad or of the soak was sent to: the first
// two parts of its ID.
func nodeOf(id string) string {
	parts := strings.SplitN(id, "-", 3)
	return strings.Join(parts[:min(len(parts), 2)], "-")
}

// mostInRest returns the largest number of requests that arrived from one node while the
// server had asked that node to stay away, and the time from the answer to the last of these.
func mostInRest(arrivals []fake.Arrival) (most int, latest time.Duration) {
	for i, asked := range arrivals {
		count := 0
		for _, a := range arrivals[i+1:] {
			after := a.At.Sub(asked.At)
			if nodeOf(a.ID) == nodeOf(asked.ID) && a.StartedMS == asked.StartedMS && after > restGrace && after < asked.Rest {
				count++
				latest = max(latest, after)
			}
		}
		most = max(most, count)
	}
	return most, latest
}

// lateAtLeaving returns the number of requests that arrived from a node more than drainTime
// after the server had told that node that it leaves.
func lateAtLeaving(arrivals []fake.Arrival) (late int) {
	type nodeAndRun struct {
		node      string
		startedMS int64
	}
	told := map[nodeAndRun]time.Time{}
	for _, a := range arrivals {
		key := nodeAndRun{nodeOf(a.ID), a.StartedMS}
		at, ok := told[key]
		switch {
		case ok && a.At.Sub(at) > drainTime+soakTimingMargin:
			late++
		case !ok && a.Leaving:
			told[key] = a.At
		}
	}
	return late
}

// Guards against BUDGET of issue 29: a server that asks for rest got the first send of every
// request, as it had the fewest, and the sends after it used up the retry budget of callers.
func TestServerThatAsksForRestIsLeftAlone(t *testing.T) {
	t.Parallel() // mostly waits
	for _, c := range []struct {
		name, retryAfter, method, path string
		behavior                       fake.Behavior
	}{
		{"once", "3", http.MethodPost, "/once/x", fake.Full},
		{"repeatable", "3", http.MethodGet, "/repeat/x", fake.Full},
		{"fraction", "1.5", http.MethodPost, "/once/x", fake.Full},
		{"not declined", "3", http.MethodGet, "/repeat/x", fake.Unavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newGatewayTestbed(t)
			resting := b.startServer("i-resting")
			b.startServer("i-2")
			b.startServer("i-3")
			nodes := b.startNodes(3)
			resting.SetRetryAfter(c.retryAfter)
			resting.SetBehavior(c.behavior)
			load := startLoadOn(nodes, restInterval, c.method, c.path)
			time.Sleep(7 * time.Second)
			load.finish()
			most, latest := mostInRest(resting.Arrivals())
			t.Logf("%d requests of a node in one rest, the last %s after the answer; %d sent, %d answered, %d refused", most, latest, load.sent.Load(), load.ok.Load(), load.refused.Load())
			is.True(most <= restExceeded)
			is.Equal(load.ok.Load(), load.sent.Load()) // the other servers have room
		})
	}
}

// Guards against callers that come back before any server takes requests again, and against
// requests that wait for a resting server.
func TestCallersAreToldWhenAllServersRest(t *testing.T) {
	// It measures short times, so it does not run in parallel with other tests.
	is := is.New(t)
	b := newGatewayTestbed(t)
	const rest = 3 * time.Second
	var servers []*fake.Server
	for i := range 3 {
		servers = append(servers, b.startServer(fmt.Sprint("i-", i)))
	}
	n := b.startNodes(1)[0]
	for _, s := range servers {
		s.SetRetryAfter(fmt.Sprint(rest.Seconds()))
		s.SetBehavior(fake.Full)
	}
	// The first request meets all servers, and each request after it only their rests.
	n.send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: "l-0-first"})
	freeAt := time.Now().Add(rest)
	for _, s := range servers {
		arrivals := s.Arrivals()
		freeAt = earliest(freeAt, arrivals[len(arrivals)-1].At.Add(rest))
	}
	for i := range 20 {
		got := n.send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprintf("l-0-%d", i)})
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.duration < 50*time.Millisecond)
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		is.NoErr(err)
		back := time.Now().Add(time.Duration(seconds * float64(time.Second)))
		is.True(!back.Before(freeAt)) // nothing is served before
		is.True(back.Before(freeAt.Add(rest)))
		time.Sleep(50 * time.Millisecond)
	}
	for _, s := range servers {
		most, _ := mostInRest(s.Arrivals())
		is.True(most <= restExceeded)
		s.SetBehavior(fake.Healthy)
	}
	time.Sleep(time.Until(freeAt.Add(time.Second)))
	is.Equal(n.send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: "l-0-after"}).status, http.StatusOK)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Guards against a rest that ends when the server's entry lapses and comes back.
func TestRestOutlastsLapsedEntry(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newGatewayTestbed(t)
	resting := b.startServer("i-resting")
	b.startServer("i-2")
	nodes := b.startNodes(2)
	resting.SetRetryAfter("5")
	resting.SetBehavior(fake.Full)
	load := startLoadOn(nodes, restInterval, http.MethodPost, "/once/x")
	time.Sleep(time.Second)
	for range 4 {
		b.store.Remove("servers/i-resting")
		time.Sleep(300 * time.Millisecond)
		b.store.Put("servers/i-resting", resting.Entry("plain", "zone-1", "ready"))
		time.Sleep(300 * time.Millisecond)
	}
	load.finish()
	most, _ := mostInRest(resting.Arrivals())
	is.True(most <= restExceeded)
	is.Equal(load.ok.Load(), load.sent.Load())
}

// Guards against DRAIN of issue 29: a server that says in its answers that it leaves went
// on getting requests, as its entry still said ready.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	t.Parallel() // mostly waits
	checkLeavingServer(t, func(*gatewayTestbed, *fake.Server) {})
}

// Guards against a leaving server that gets requests again when its entry lapses and
// comes back.
func TestLeavingOutlastsLapsedEntry(t *testing.T) {
	t.Parallel() // mostly waits
	checkLeavingServer(t, func(b *gatewayTestbed, leaving *fake.Server) {
		time.Sleep(500 * time.Millisecond)
		b.store.Remove("servers/i-leaving")
		time.Sleep(time.Second)
		b.store.Put("servers/i-leaving", leaving.Entry("plain", "zone-1", "ready"))
	})
}

// checkLeavingServer verifies that a server gets nothing more after drainTime once it says
// that it leaves, and that its next run is used. meanwhile is called after it has said so.
func checkLeavingServer(t *testing.T, meanwhile func(*gatewayTestbed, *fake.Server)) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	leaving := b.startServer("i-leaving")
	b.startServer("i-2")
	nodes := b.startNodes(2)
	load := startLoadOn(nodes, restInterval, http.MethodPost, "/once/x")
	time.Sleep(500 * time.Millisecond)
	leaving.SetLeaving("1")
	said := time.Now()
	meanwhile(b, leaving)
	time.Sleep(time.Until(said.Add(drainTime + 2*time.Second)))
	late := 0
	for _, a := range leaving.Arrivals() {
		if a.At.Sub(said) > drainTime {
			late++
		}
	}
	is.Equal(late, 0)
	leaving.SetLeaving()
	leaving.Restart()
	b.store.Put("servers/i-leaving", leaving.Entry("plain", "zone-1", "ready"))
	count := len(leaving.Arrivals())
	b.eventually("the next run of the server is used", func() bool { return len(leaving.Arrivals()) > count })
	load.finish()
	is.Equal(load.refused.Load(), int64(0))
}

// Guards against calls of crank-entry to a server of a plain service that has asked for rest,
// and against callers that are told to come back in it.
func TestServiceThatAsksForRestIsLeftAlone(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, services: 1, modelServers: 1})
	is.Equal(b.nodes[0].send(bookingRequest("before")).status, http.StatusOK)
	b.postAdmin(b.services[0], "faults", standin.ServiceFaults{Refuse: 1, RetryAfter: "2"})
	asked := time.Now()
	for _, key := range []string{"first", "second"} { // the second finds the server resting
		r := b.nodes[0].send(bookingRequest(key))
		is.Equal(r.outcome, "not-run")
		seconds, err := strconv.ParseFloat(r.retryAfter, 64)
		is.NoErr(err)
		is.True(!time.Now().Add(time.Duration(seconds * float64(time.Second))).Before(asked.Add(2 * time.Second)))
	}
	is.Equal(b.runCounts()["second"], 0)
	time.Sleep(time.Until(asked.Add(2500 * time.Millisecond)))
	is.Equal(b.nodes[0].send(bookingRequest("after")).status, http.StatusOK)
}

// Guards against a full server that names no time and gets the first send of every request,
// as it has the fewest.
func TestFullServerDrawsNoRequests(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newGatewayTestbed(t)
	full := b.startServer("i-full")
	b.startServer("i-2")
	b.startServer("i-3")
	nodes := b.startNodes(3)
	full.SetBehavior(fake.Full)
	before := len(full.Arrivals())
	load := startLoadOn(nodes, restInterval, http.MethodPost, "/once/x")
	time.Sleep(4 * time.Second)
	load.finish()
	arrived := len(full.Arrivals()) - before
	t.Logf("%d of %d requests were sent to the full server; %d refused", arrived, load.sent.Load(), load.refused.Load())
	is.Equal(load.ok.Load(), load.sent.Load()) // the other servers have room
	full.SetBehavior(fake.Healthy)
	b.eventually("the server is used again", func() bool {
		b.waitServing(nodes[0], "p-again")
		return len(full.Runs()) > 0 && len(full.Arrivals())-before > arrived+3
	})
}

// Guards against a server that is overwhelmed at the end of its rest, when all nodes return
// to it at once.
func TestServerIsNotOverwhelmedAfterRest(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newGatewayTestbed(t)
	const (
		slots   = 16
		runTime = 50 * time.Millisecond
		rest    = 2 * time.Second
		workers = 4 // for each node; each has one request at a time
	)
	resting := b.startServer("i-resting")
	for _, s := range []*fake.Server{resting, b.startServer("i-2"), b.startServer("i-3")} {
		s.SetSlots(slots, runTime)
	}
	nodes := b.startNodes(8)
	var loads []*limitLoad
	for range workers {
		loads = append(loads, startLoadOn(nodes, 20*time.Millisecond, http.MethodPost, "/once/x"))
	}
	resting.SetRetryAfter(fmt.Sprint(rest.Seconds()))
	resting.SetBehavior(fake.Full)
	time.Sleep(rest / 2)
	resting.SetBehavior(fake.Healthy)
	resting.SetRetryAfter()
	time.Sleep(2*rest + time.Second)
	for _, load := range loads {
		load.finish()
	}
	rejected, accepted := 0, 0
	var restEnded time.Time
	for _, a := range resting.Arrivals() {
		switch {
		case a.Rest > 0:
			restEnded = a.At.Add(rest)
		case restEnded.IsZero():
		case a.Rejected && a.At.Before(restEnded.Add(time.Second)):
			rejected++
		case a.Rejected:
		default:
			accepted++
		}
	}
	t.Logf("after the rest %d requests accepted, %d rejected in the first second", accepted, rejected)
	is.True(rejected <= slots)
	is.True(accepted > 100) // it has its share again
}

// Guards against a rest that nobody reads: its server rejects a request whose caller has just
// left.
func TestRestIsKnownWhenCallersHaveLeft(t *testing.T) {
	t.Parallel() // mostly waits
	const (
		rejectDelay = 40 * time.Millisecond
		leaveAfter  = 20 * time.Millisecond
	)
	is := is.New(t)
	b := newGatewayTestbed(t)
	resting := b.startServer("i-resting")
	b.startServer("i-2")
	n := b.startNodes(1)[0]
	resting.SetRetryAfter("3")
	resting.SetRejectDelay(rejectDelay)
	resting.SetBehavior(fake.Full)
	for i := range 200 {
		ctx, leave := context.WithTimeout(context.Background(), leaveAfter)
		n.sendContext(ctx, gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprintf("l-0-%d", i)})
		leave()
	}
	time.Sleep(rejectDelay)
	most, latest := mostInRest(resting.Arrivals())
	t.Logf("%d requests in one rest, the last %s after the response; %d arrived", most, latest, len(resting.Arrivals()))
	is.True(most <= restExceeded)
}
