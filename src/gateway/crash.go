package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
)

// Timing of crash checks.
const (
	crashWait          = 100 * time.Millisecond // for which a resend waits for the check
	crashPollInterval  = 200 * time.Millisecond // while a server may be back later
	crashPollPeriod    = 8 * time.Second
	crashCheckInterval = 100 * time.Millisecond // for which requests that end at one server share a check
	stalledResponse    = time.Second            // without progress, after which an abandoned response is checked as well
)

// crashCheck finds out whether a server has crashed. probed is closed when a first
// attempt to connect has shown whether it may be gone, judged when the other nodes have been
// asked about it, and done when the result is final.
type crashCheck struct {
	probed      chan struct{}
	judged      chan struct{}
	done        chan struct{}
	started     time.Time
	crashed     atomic.Bool
	unreachable atomic.Bool // by the latest attempt to connect
	restartedAt time.Time   // the server's own clock; set if the crash shows only by a later start
}

// crashDetector tells crashes of servers from everything else that ends a response
// early: a process that has crashed refuses connections until it is back, and is
// then back with a later start. A lost, spoiled or reset response, a partition and a
// planned end of the server don't count.
type crashDetector struct {
	pool   *upstreamPool
	prober *prober
	// askPeers is nil if there are no other nodes to ask.
	askPeers peerProbes

	watchPeriod time.Duration // for which a server that seems to run is watched
	mu          sync.Mutex
	checks      map[*upstream]*crashCheck // the latest of each server
}

func newCrashDetector(pool *upstreamPool, prober *prober) *crashDetector {
	return &crashDetector{pool: pool, prober: prober, watchPeriod: crashPollPeriod, checks: map[*upstream]*crashCheck{}}
}

// check returns the check of a server that is running or has just ended, or starts one. A
// server that is unreachable has one check, as it runs nothing meanwhile.
func (d *crashDetector) check(s *upstream) *crashCheck {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.checks[s]; c != nil && (clock.Since(c.started) < crashCheckInterval || c.unreachable.Load()) {
		return c
	}
	for other, c := range d.checks {
		if clock.Since(c.started) > crashPollPeriod+crashCheckInterval {
			delete(d.checks, other)
		}
	}
	c := &crashCheck{probed: make(chan struct{}), judged: make(chan struct{}), done: make(chan struct{}), started: clock.Now()}
	d.checks[s] = c
	go func() {
		defer close(c.done)
		d.run(c, s)
		c.unreachable.Store(false)
		if c.crashed.Load() {
			klog.InfoS("server_crashed", "server", s.id, "born", s.startedMS, "after_ms", clock.Since(c.started).Milliseconds())
		}
	}()
	return c
}

// run checks the server now and, as a proxy may accept connections in its place or a
// partition hide it, watches for a while whether it is back with a later start.
func (d *crashDetector) run(c *crashCheck, s *upstream) {
	if goOn := d.begin(c, s); !goOn {
		return
	}
	for !c.crashed.Load() && clock.Since(c.started) < d.watchPeriod {
		time.Sleep(min(crashPollInterval, d.watchPeriod))
		if draining, _ := d.pool.status(s); draining {
			return
		}
		c.findRestart(d.pool, s)
		if !c.crashed.Load() && c.unreachable.Load() {
			d.setUnreachable(c, s, d.prober.probe(s.address)) // it closed new connections before
		}
	}
}

// begin makes the first attempt to connect to a server and, if it refuses, asks the other nodes.
// It reports whether to go on watching it.
func (d *crashDetector) begin(c *crashCheck, s *upstream) bool {
	defer close(c.judged)
	draining, listed := d.pool.status(s)
	if draining {
		close(c.probed)
		return false
	}
	c.findRestart(d.pool, s)
	if c.crashed.Load() || !listed {
		close(c.probed)
		return true
	}
	result := d.prober.probe(s.address)
	d.setUnreachable(c, s, result)
	close(c.probed) // it may have crashed, until other nodes say otherwise
	return result != probeRefused || d.confirm(c, s)
}

// confirm asks the other nodes about a server that refuses connections, and reports whether to
// go on watching it.
func (d *crashDetector) confirm(c *crashCheck, s *upstream) bool {
	switch d.judge(s) {
	case verdictPartitioned:
		klog.InfoS("server_partitioned", "server", s.id, "started_ms", s.startedMS)
		return false
	case verdictCrashed:
		c.crashed.Store(true)
	case verdictUnclear:
		c.unreachable.Store(false)
	}
	return true
}

// setUnreachable records whether a server closes connections: if so, it gets no requests until
// a probe finds that it accepts them.
func (d *crashDetector) setUnreachable(c *crashCheck, s *upstream, result probeResult) {
	unreachable := result == probeRefused || result == probeClosed
	c.unreachable.Store(unreachable)
	if unreachable {
		d.pool.markUnreachable(s)
	}
}

func (c *crashCheck) findRestart(pool *upstreamPool, s *upstream) {
	if startedMS, ok := pool.successor(s); ok {
		c.restartedAt = time.UnixMilli(startedMS)
		c.crashed.Store(true)
	}
}

// crashTime returns the time of the crash that ended a request at failedAt, in agreed
// time. ok is false if there was none, or the server still responded after that failure.
// A crash that shows only by a later start has the same time for all requests, as one
// run of a server crashes once.
func (c *crashCheck) crashTime(pool *upstreamPool, s *upstream, failedAt, agreedFailedAt time.Time) (at time.Time, ok bool) {
	switch {
	case !c.crashed.Load():
		return time.Time{}, false
	case c.restartedAt.IsZero():
		return agreedFailedAt, true
	}
	return c.restartedAt, !pool.respondedAfter(s, failedAt)
}

// status reports whether a server is draining, and whether it is listed. The end of a
// server that is draining is no crash, and that of an unlisted one need not be.
func (p *upstreamPool) status(s *upstream) (draining, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.draining, p.byID[s.id] != nil
}

// successor returns the start of a later run that is registered under the ID or, for the
// same service, at the address of a server, in Unix ms.
func (p *upstreamPool) successor(s *upstream) (startedMS int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if later := p.byID[s.id]; later != nil && later != s {
		return later.startedMS, true
	}
	for _, later := range p.byService[s.service] {
		if later.address == s.address && later.startedMS > s.startedMS {
			return later.startedMS, true
		}
	}
	return 0, false
}

// recordResponse records that a server has sent the header of a response to a request sent at
// sentAt.
func (p *upstreamPool) recordResponse(s *upstream, sentAt time.Time) {
	p.mu.Lock()
	s.respondedAt = p.now()
	s.heardAt = s.respondedAt
	if sentAt.After(s.answeredSentAt) {
		s.answeredSentAt = sentAt
	}
	p.mu.Unlock()
}

// respondedAfter reports whether a server has sent a response header since t.
func (p *upstreamPool) respondedAfter(s *upstream, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.respondedAt.After(t)
}
