package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
)

// Timing of crash checks.
const (
	crashDialTimeout   = 300 * time.Millisecond
	crashWait          = 100 * time.Millisecond // for which a resend waits for the check
	crashPollInterval  = 500 * time.Millisecond // while a server neither accepts nor refuses connections
	crashPollPeriod    = 8 * time.Second
	crashCheckInterval = 500 * time.Millisecond // between two checks of one server
	stalledResponse    = time.Second            // without progress, after which an abandoned response is checked as well
)

// crashCheck finds out whether a server has crashed. crashed may be read once done is
// closed.
type crashCheck struct {
	done    chan struct{}
	started time.Time
	crashed bool
}

// crashDetector tells crashes of servers from everything else that ends a response
// early: a process that has crashed refuses connections until it is back, and is
// then back with a later start. A lost, spoiled or reset response, a partition and a
// planned end of the server don't count.
type crashDetector struct {
	pool   *upstreamPool
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	mu     sync.Mutex
	checks map[*upstream]*crashCheck // the latest of each server
}

func newCrashDetector(pool *upstreamPool) *crashDetector {
	return &crashDetector{pool: pool, dial: (&net.Dialer{}).DialContext, checks: map[*upstream]*crashCheck{}}
}

// check returns the check of a server that is running or has just ended, or starts one.
func (d *crashDetector) check(s *upstream) *crashCheck {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.checks[s]; c != nil && clock.Since(c.started) < crashCheckInterval {
		return c
	}
	for other, c := range d.checks {
		if clock.Since(c.started) > crashPollPeriod+crashCheckInterval {
			delete(d.checks, other)
		}
	}
	c := &crashCheck{done: make(chan struct{}), started: clock.Now()}
	d.checks[s] = c
	go func() {
		defer close(c.done)
		c.crashed = d.hasCrashed(s)
		if c.crashed {
			klog.InfoS("server_crashed", "server", s.id, "born", s.startedMS)
		}
	}()
	return c
}

// hasCrashed blocks until it is known whether the server has crashed.
func (d *crashDetector) hasCrashed(s *upstream) bool {
	leaving, listed := d.pool.status(s)
	if leaving {
		return false
	}
	for deadline := clock.Now().Add(crashPollPeriod); ; {
		if d.pool.wasReplaced(s) {
			return true
		}
		ctx, cancel := context.WithTimeout(context.Background(), crashDialTimeout)
		conn, err := d.dial(ctx, "tcp", s.address)
		cancel()
		switch {
		case err == nil:
			_ = conn.Close()
			return d.pool.wasReplaced(s)
		case errors.Is(err, syscall.ECONNREFUSED):
			return listed
		case clock.Now().After(deadline):
			return false
		}
		time.Sleep(crashPollInterval)
	}
}

// status reports whether a server is draining, and whether it is listed. The end of a
// server that is draining is no crash, and that of an unlisted one need not be.
func (p *upstreamPool) status(s *upstream) (draining, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.draining, p.byID[s.id] != nil
}

// wasReplaced reports whether a later run of the service is registered under the ID
// or at the address of a server.
func (p *upstreamPool) wasReplaced(s *upstream) bool {
	if s.ctx.Err() != nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range p.byService[s.service] {
		if other != s && other.address == s.address && other.startedMS > s.startedMS {
			return true
		}
	}
	return false
}
