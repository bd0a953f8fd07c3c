package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/retryafter"
)

const (
	// Clients of the highest priority return in the first part of the time after a known
	// wait, those of the next priority in the next part, up to maxReturnParts.
	returnSpread    = 0.25 // length of a part, as part of the wait
	minReturnSpread = 200 * time.Millisecond
	maxReturnSpread = 5 * time.Second
	maxReturnParts  = 4
	// The nodes end their rests at different times, as the server may have asked them all at
	// once.
	restSpread        = 0.25                 // most by which a rest is lengthened, as part of it
	restSpreadPerNode = 5 * time.Millisecond // the same, for each node
)

// errServerResting is the error of a connection that is ready only after its server has asked
// for rest. Nothing was sent on it.
var errServerResting = errors.New("server has asked for rest")

// recordRest takes note of the rest that a server asks for in a response. declined is
// whether the server says that it did not run the request.
func (n *Node) recordRest(s *upstream, resp *http.Response, declined bool) {
	rest, err := retryafter.FromResponse(resp, declined, n.clusterTime())
	if err != nil {
		klog.ErrorS(err, "server_rest_unusable", "server", s.id, "values", resp.Header.Values("Retry-After"))
	}
	if rest <= 0 {
		return
	}
	until := clock.Now().Add(rest + restExtension(rest, n.roster.Count()))
	if began := n.upstreams.rest(s, until); began {
		klog.InfoS("server_rest", "server", s.id, "service", s.service, "rest_ms", rest.Milliseconds())
		n.metrics.Rest(s.service)
	}
}

// restExtension returns a random time by which this node lengthens a rest.
func restExtension(rest time.Duration, nodes int) time.Duration {
	most := min(time.Duration(restSpread*float64(rest)), time.Duration(nodes)*restSpreadPerNode)
	return rand.N(max(most, 1))
}

// rest excludes a server from requests until the given time, or until an earlier rest ends
// that lasts longer. Then it gets one request at a time until it accepts one. It reports
// whether the server was not resting before.
func (p *upstreamPool) rest(s *upstream, until time.Time) (began bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s = p.current(s)
	began = !s.resting(p.now())
	if until.After(s.restUntil) {
		s.restUntil = until
	}
	s.probing = true
	return began
}

// restWait returns the time until the first resting server of a service takes requests
// again, 0 if none rests. all is whether all its servers that are not draining rest.
func (p *upstreamPool) restWait(service string) (wait time.Duration, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	usable := false
	for _, s := range p.byService[service] {
		switch {
		case s.draining:
		case !s.resting(now):
			usable = true
		case wait == 0 || s.restUntil.Sub(now) < wait:
			wait = s.restUntil.Sub(now)
		}
	}
	return wait, wait > 0 && !usable
}

// returnAfter returns the Retry-After of a request of the given priority, 0 being the
// highest, for which a server is free again after wait: never less, spread over time so
// that not all clients return at once, and the more urgent ones first.
func returnAfter(wait time.Duration, priority int) time.Duration {
	part := time.Duration(returnSpread * float64(wait))
	part = min(max(part, minReturnSpread), maxReturnSpread)
	rank := min(max(priority, 0), maxReturnParts-1)
	return wait + time.Duration(rank)*part + rand.N(part)
}

func (p *upstreamPool) isResting(s *upstream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.resting(p.now())
}

// resting reports whether the server has asked this node to send it nothing now. The
// caller holds the pool's lock.
func (s *upstream) resting(now time.Time) bool { return now.Before(s.restUntil) }
