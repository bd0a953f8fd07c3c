package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/conn"
)

// What the end of a response with neither a length nor chunks proves. It ends with its connection, in
// the same way as if its server crashes, and conn.Transport has found that the connection ended in
// order:
//
//	no process listens                                  broken
//	another run of the server is known                  broken
//	this node stood still or did not reach the server   broken, until the list of servers has been
//	  while the response ran                              confirmed since: a run that is back looks
//	                                                      like one that never went
//	another response of the server broke at that time   broken: a process that ends closes its
//	                                                      connections one by one
//	the server takes connections                        whole, and the server ran the request
//	connections are closed at once, or no answer        whole: the server may be full

// breakWindow is the time around an end in which another response breaks if the process ends.
const breakWindow = 50 * time.Millisecond

// errEndUnclear is the error of a response whose end proves nothing.
var errEndUnclear = fmt.Errorf("%w: the end of its connection does not prove that it is whole", errTruncated)

// provesCompletion reports whether a response that was read to its end shows that the
// server ran the request to its end. If it is not framed, the server must have been seen since.
func (f *forwarder) provesCompletion(resp *http.Response) bool {
	return (conn.IsFramed(resp) || f.seenAtEnd) && resp.StatusCode < http.StatusInternalServerError
}

// endCheck returns the check of the end of a server's response.
func (f *forwarder) endCheck(s *upstream, resp *http.Response) endCheck {
	if conn.IsFramed(resp) {
		return noEndCheck
	}
	return func() error {
		err := f.checkEnd(s)
		if err != nil {
			klog.InfoS("response_end", "id", f.req.id, "server", s.id, "events", f.response.events, "err", err)
		}
		return err
	}
}

// checkEnd returns an error unless the server's response is whole that has ended now.
func (f *forwarder) checkEnd(s *upstream) error {
	endedAt := clock.Now()
	result := f.probeEnd(s)
	pool := f.node.upstreams
	switch {
	case result == probeRefused:
		return errTruncated
	case !pool.sameRun(s, f.sentAt), pool.brokeSince(s, endedAt.Add(-breakWindow)):
		return errEndUnclear
	}
	f.seenAtEnd = result == probeAccepted
	return nil
}

// probeEnd connects to the server, again if the connection is closed: while a process is killed its
// listener may still accept connections for a moment, which it closes then.
func (f *forwarder) probeEnd(s *upstream) probeResult {
	result := f.node.prober.probe(s.address)
	for range endProbes - 1 {
		if result != probeClosed {
			break
		}
		time.Sleep(probeHold)
		result = f.node.prober.probe(s.address)
	}
	return result
}

// sameRun reports whether the run of a server that requests got to at sentAt is known to go on.
func (p *upstreamPool) sameRun(s *upstream, sentAt time.Time) bool {
	if _, ok := p.successor(s); ok {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	confirmed := p.runConfirmed(s)
	return confirmed || !s.reachableAgainAt.After(sentAt) && !p.resumedAt.After(sentAt)
}

// recordBreak records that a response of a server ended early, or none came.
func (p *upstreamPool) recordBreak(s *upstream) {
	p.mu.Lock()
	s.brokeAt = p.now()
	p.mu.Unlock()
}

// brokeSince reports whether a response of a server has ended early since t.
func (p *upstreamPool) brokeSince(s *upstream, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.brokeAt.After(t)
}

// isBreak reports whether a response ended early because of its server or connection.
func isBreak(err error) bool { return errors.Is(err, errTruncated) && !errors.Is(err, errEndUnclear) }
