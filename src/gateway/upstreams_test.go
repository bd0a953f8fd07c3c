package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/traffic"
)

// Issue 19: state of a server was carried over to its next run under the same id.
func TestRestartedUpstreamStartsFromCleanState(t *testing.T) {
	is := is.New(t)
	pool := newUpstreamPool(time.Now)
	entry := traffic.Upstream{ID: "i-1", Service: "s", Address: "10.0.0.1:1", StartedMS: 1}
	pool.update([]traffic.Upstream{entry})
	before := pool.byService["s"][0]
	is.True(pool.markDraining(before))
	pool.beginRequest(before, 10)
	pool.recordFailure(before, true)
	pool.update([]traffic.Upstream{entry})
	is.Equal(len(pool.candidates("s", nil)), 0) // the same run stays excluded
	entry.StartedMS = 2
	is.Equal(pool.update([]traffic.Upstream{entry}), []string{"i-1"})
	is.True(before.ctx.Err() != nil) // pending requests fail
	got := pool.candidates("s", nil)
	is.Equal(len(got), 1)
	is.Equal(got[0].requests, 0)
	is.Equal(got[0].pendingPrefill, int64(0))
	is.Equal(got[0].failureRate, 0.0)
	pool.endRequest(before)
	is.True(!pool.markDraining(before)) // has no effect on the new run
	is.Equal(pool.candidates("s", nil)[0].requests, 0)
}

func TestRemovedUpstreamFinishesPendingRequests(t *testing.T) {
	is := is.New(t)
	pool := newUpstreamPool(time.Now)
	pool.update([]traffic.Upstream{{ID: "i-1", Service: "s", Address: "10.0.0.1:1"}})
	removed := pool.byService["s"][0]
	is.Equal(pool.update(nil), []string{"i-1"})
	is.NoErr(removed.ctx.Err()) // a server may be unlisted before it stops serving
}
