package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/quarantine"
	"github.com/crankridge/crankridge/src/traffic"
)

// Guards against taking a planned end, a partition or a broken response for a crash.
func TestOnlyCrashesAreTakenForCrashes(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	accept := func(context.Context, string, string) (net.Conn, error) {
		conn, other := net.Pipe()
		return conn, other.Close()
	}
	entry := traffic.Upstream{ID: "i-1", Service: "s", Address: "10.0.0.1:1", StartedMS: 1}
	restarted, successor, draining := entry, entry, entry
	restarted.StartedMS = 2
	successor.ID, successor.StartedMS = "i-2", 2
	draining.Draining = true
	for name, c := range map[string]struct {
		dial    func(context.Context, string, string) (net.Conn, error)
		later   []traffic.Upstream // server list after the end of the response
		crashed bool
	}{
		"process gone":             {refuse, []traffic.Upstream{entry}, true},
		"still running":            {accept, []traffic.Upstream{entry}, false},
		"restarted":                {accept, []traffic.Upstream{restarted}, true},
		"successor at the address": {accept, []traffic.Upstream{successor}, true},
		"drained":                  {refuse, []traffic.Upstream{draining}, false},
		"left without notice":      {refuse, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := newUpstreamPool(time.Now)
			pool.update([]traffic.Upstream{entry})
			s := pool.byService["s"][0]
			pool.update(c.later)
			d := newCrashDetector(pool, &prober{dial: c.dial})
			d.watchPeriod = time.Millisecond
			check := d.check(s)
			is.Equal(d.check(s), check) // one check for all requests that ended there
			<-check.done
			is.Equal(check.crashed.Load(), c.crashed)
		})
	}
}

// Guards against missing a crash behind a proxy, which accepts connections meanwhile.
func TestCrashBehindProxyIsFound(t *testing.T) {
	is := is.New(t)
	pool := newUpstreamPool(time.Now)
	entry := traffic.Upstream{ID: "i-1", Service: "s", Address: "10.0.0.1:1", StartedMS: 1}
	pool.update([]traffic.Upstream{entry})
	d := newCrashDetector(pool, &prober{dial: func(context.Context, string, string) (net.Conn, error) {
		conn, other := net.Pipe()
		return conn, other.Close()
	}})
	check := d.check(pool.byService["s"][0])
	<-check.probed
	is.True(!check.crashed.Load()) // a resend need not wait
	entry.StartedMS = 2
	pool.update([]traffic.Upstream{entry})
	<-check.done
	is.True(check.crashed.Load())
}

// Guards against taking several broken responses of one run of a server for as many
// crashes when that run ends later.
func TestOneRunCrashesOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	pool := newUpstreamPool(func() time.Time { return now })
	entry := traffic.Upstream{ID: "i-1", Service: "s", Address: "10.0.0.1:1", StartedMS: 1}
	pool.update([]traffic.Upstream{entry})
	s := pool.byService["s"][0]
	failures := []time.Time{now, now.Add(2 * time.Second), now.Add(4 * time.Second)}
	now = failures[0].Add(time.Second)
	pool.recordResponse(s, now) // after the first failure, so that was no crash
	check := &crashCheck{restartedAt: time.UnixMilli(1_006_000)}
	check.crashed.Store(true)
	list := quarantine.NewList(time.Now)
	digest := quarantine.NewDigest("c", "GET", "h", "/", nil)
	crashes := 0
	for _, failedAt := range failures {
		if at, ok := check.crashTime(pool, s, failedAt, failedAt); ok {
			crashes++
			list.RecordCrash(digest, quarantine.Crash{Server: s.id, StartedMS: s.startedMS, SentAt: failedAt.Add(-time.Second), At: at})
		}
	}
	is.Equal(crashes, 2)
	is.Equal(len(list.Get(digest).Crashes), 1)
}

// Guards against a sound request being recorded with the crashes of suspects beside it.
func TestSuspectsAreKeptApart(t *testing.T) {
	is := is.New(t)
	pool := newUpstreamPool(time.Now)
	var list []traffic.Upstream
	for _, id := range []string{"i-1", "i-2", "i-3"} {
		list = append(list, traffic.Upstream{ID: id, Service: "s", Address: "10.0.0.1:" + id, StartedMS: 1})
	}
	pool.update(list)
	ids := func(standing quarantine.Standing) (out []string) {
		for _, c := range keepApart(pool.candidates("s", nil), standing) {
			out = append(out, c.id)
		}
		return out
	}
	suspect, isolated := quarantine.Standing{Crashes: 1}, quarantine.Standing{Crashes: 2}
	pool.beginSuspect(pool.byID["i-1"], suspect)
	pool.beginSuspect(pool.byID["i-2"], isolated)
	is.Equal(ids(quarantine.Standing{}), []string{"i-1", "i-3"})
	is.Equal(ids(suspect), []string{"i-3"})
	pool.beginSuspect(pool.byID["i-3"], isolated)
	is.Equal(ids(suspect), []string{"i-1"}) // no server is free of suspects, but one of isolated requests
	pool.endSuspect(pool.byID["i-2"], isolated)
	is.Equal(ids(suspect), []string{"i-2"})
}
