package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/traffic"
)

// newReachPool returns a pool of servers of service "s" and a function that lets time pass.
func newReachPool(servers int) (pool *upstreamPool, pass func(time.Duration)) {
	now := time.Unix(1000, 0)
	pool = newUpstreamPool(func() time.Time { return now })
	var list []traffic.Upstream
	for i := range servers {
		list = append(list, traffic.Upstream{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprint("10.0.0.1:", i+1), StartedMS: 1})
	}
	pool.update(list)
	return pool, func(d time.Duration) { now = now.Add(d) }
}

// Guards against a node that goes on connecting to servers that it cannot reach, once for
// each request.
func TestFailedConnectionIsNotTriedByNextRequest(t *testing.T) {
	is := is.New(t)
	pool, _ := newReachPool(2)
	dials := 0
	pool.dial = func(context.Context, string, string) (net.Conn, error) {
		dials++
		return nil, syscall.ECONNREFUSED
	}
	for _, s := range pool.byService["s"] {
		for range 3 {
			_, err := pool.dialServer(s)(context.Background(), "tcp", s.address)
			is.True(err != nil)
		}
	}
	is.Equal(dials, 2)
	is.Equal(len(pool.candidates("s", nil)), 0)
	is.True(pool.reach("s").none())
}

// Guards against taking what this node lacks, or a request that ran out of time, for a server
// that cannot be reached.
func TestOnlyFailuresOfNetworkProveServerUnreachable(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	for _, c := range []struct {
		err  error
		took time.Duration
		want bool
	}{
		{syscall.ECONNREFUSED, 0, true},
		{syscall.EHOSTUNREACH, 0, true},
		{timeout, dialTimeout, true},
		{timeout, dialTimeout / 2, false},
		{syscall.EMFILE, 0, false},
		{syscall.EADDRNOTAVAIL, 0, false},
		{context.Canceled, 0, false},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			is.New(t).Equal(provesUnreachable(fmt.Errorf("dial: %w", c.err), c.took), c.want)
		})
	}
}

// Guards against open connections that still work being left unused while new ones fail.
func TestOpenConnectionsOfUnreachableServerAreUsed(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(1)
	s := pool.byService["s"][0]
	pool.heard(s)
	pass(time.Second)
	pool.markUnreachable(s)
	is.Equal(len(pool.candidates("s", nil)), 0) // not heard from since
	pass(time.Second)
	pool.heard(s)
	is.Equal(len(pool.candidates("s", nil)), 1)
	_, err := pool.dialServer(s)(context.Background(), "tcp", s.address)
	is.True(errors.Is(err, errServerUnreachable))
	pool.recordNoConnection(s)
	is.Equal(len(pool.candidates("s", nil)), 0)
}

// Guards against a node that returns to its servers late, one by one, after a partition.
func TestServersAreProbedTogetherAfterPartition(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(3)
	servers := pool.byService["s"]
	for _, s := range servers {
		pool.markUnreachable(s)
	}
	is.Equal(len(pool.dueProbes()), 0)
	for range 5 {
		pass(maxProbeInterval)
		due := pool.dueProbes()
		is.Equal(len(due), len(servers))
		is.Equal(len(pool.dueProbes()), 0) // they run already
		for _, s := range due {
			pool.recordProbe(s, probeNoAnswer)
		}
	}
	pass(maxProbeInterval / 2)
	is.Equal(len(pool.dueProbes()), 0)
	pool.recordProbe(servers[0], probeAccepted)
	is.Equal(len(pool.dueProbes()), len(servers)-1)
	is.Equal(len(pool.candidates("s", nil)), 1)
}
