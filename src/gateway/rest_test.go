package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crankridge/crankridge/src/retryafter"
	"github.com/crankridge/crankridge/src/traffic"
)

// newRestPool returns a pool with one server, and its clock.
func newRestPool() (pool *upstreamPool, server *upstream, now *time.Time) {
	now = new(time.Time)
	*now = time.Unix(1000, 0)
	pool = newUpstreamPool(func() time.Time { return *now })
	pool.update([]traffic.Upstream{{ID: "i-1", Service: "s", Address: "10.0.0.1:1", StartedMS: 1}})
	return pool, pool.byID["i-1"], now
}

// Guards against a rest that a later, shorter one or a good answer to an earlier send ends.
func TestLongestRestCounts(t *testing.T) {
	is := is.New(t)
	pool, s, now := newRestPool()
	is.True(pool.rest(s, now.Add(5*time.Second)))
	is.True(!pool.rest(s, now.Add(time.Second)))
	*now = now.Add(4 * time.Second)
	pool.recordSuccess(s)
	is.Equal(len(pool.candidates("s", nil)), 0)
	*now = now.Add(time.Second)
	is.Equal(len(pool.candidates("s", nil)), 1)
}

// An ejected server is used if there is no other, but not while it rests.
func TestRestIsStricterThanEjection(t *testing.T) {
	is := is.New(t)
	pool, s, now := newRestPool()
	pool.recordFailure(s, true)
	is.Equal(len(pool.candidates("s", nil)), 1)
	pool.rest(s, now.Add(time.Second))
	is.Equal(len(pool.candidates("s", nil)), 0)
}

// Guards against clients that are told to return before a server takes requests again.
func TestRestWaitIsTimeUntilFirstServerIsFree(t *testing.T) {
	is := is.New(t)
	pool, first, now := newRestPool()
	pool.update([]traffic.Upstream{
		{ID: "i-1", Service: "s", Address: "10.0.0.1:1", StartedMS: 1},
		{ID: "i-2", Service: "s", Address: "10.0.0.1:2", StartedMS: 1},
		{ID: "i-3", Service: "s", Address: "10.0.0.1:3", StartedMS: 1, Draining: true},
	})
	wait, all := pool.restWait("s")
	is.Equal(wait, time.Duration(0))
	is.True(!all)
	pool.rest(first, now.Add(3*time.Second))
	wait, all = pool.restWait("s")
	is.Equal(wait, 3*time.Second)
	is.True(!all)
	pool.rest(pool.byID["i-2"], now.Add(2*time.Second))
	wait, all = pool.restWait("s")
	is.Equal(wait, 2*time.Second)
	is.True(all)
	wait, all = pool.restWait("unknown")
	is.Equal(wait, time.Duration(0))
	is.True(!all)
}

func TestMoreUrgentRequestsReturnFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.Int64Range(1, int64(retryafter.Max)).Draw(t, "wait"))
		priority := rapid.IntRange(0, maxReturnParts-2).Draw(t, "priority")
		urgent, less := returnAfter(wait, priority), returnAfter(wait, priority+1)
		if urgent < wait || less <= urgent {
			t.Fatalf("wait %s: %s at priority %d, %s at the next", wait, urgent, priority, less)
		}
	})
}

// Guards against requests that were waiting for a connection when their server asked for
// rest, and reach it in its rest.
func TestRequestsWaitingForConnectionAreNotSentToRestingServer(t *testing.T) {
	is := is.New(t)
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	pool, s, now := newRestPool()
	connected, proceed := make(chan struct{}), make(chan struct{})
	pool.dial = func(ctx context.Context, network, _ string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, server.Listener.Addr().String())
		connected <- struct{}{}
		<-proceed
		return c, err
	}
	result := make(chan error)
	go func() {
		req, _ := http.NewRequest(http.MethodGet, "http://"+s.address, nil)
		_, err := pool.transport(s).RoundTrip(req)
		result <- err
	}()
	<-connected
	pool.rest(s, now.Add(time.Second))
	close(proceed)
	is.True(errors.Is(<-result, errServerResting))
	is.Equal(arrived.Load(), int64(0))
}

// Guards against a trial of a quarantined request being spent while no server may be sent to.
func TestRestingServerOffersNoTrial(t *testing.T) {
	is := is.New(t)
	pool, s, now := newRestPool()
	is.Equal(len(pool.versions("s")), 1)
	pool.rest(s, now.Add(time.Second))
	is.Equal(len(pool.versions("s")), 0)
}

// Guards against what a server says being lost because its entry has named another address since
// the request was sent.
func TestNewsOfRunHoldAtItsNewAddress(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	pool := newUpstreamPool(func() time.Time { return now })
	entry := traffic.Upstream{ID: "i-1", Service: "s", Address: "10.0.0.1:1", StartedMS: 1}
	pool.update([]traffic.Upstream{entry})
	before := pool.byID["i-1"]
	entry.Address = "10.0.0.1:2"
	pool.update([]traffic.Upstream{entry})
	pool.rest(before, now.Add(time.Second))
	is.Equal(len(pool.candidates("s", nil)), 0)
	now = now.Add(time.Second)
	is.Equal(len(pool.candidates("s", nil)), 1)
	pool.setBrittle(before, brittleness{brittle: true, rejections: 3, at: now})
	_, brittle := pool.brittleOf(pool.byID["i-1"], now)
	is.True(brittle)
	pool.markLeaving(before)
	is.Equal(len(pool.candidates("s", nil)), 0)
	entry.StartedMS = 2
	pool.update([]traffic.Upstream{entry})
	pool.rest(before, now.Add(time.Second))
	is.Equal(len(pool.candidates("s", nil)), 1) // another run
}
