package gateway

import (
	"slices"
	"time"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/quarantine"
)

// choice is the server picked for a send.
type choice struct {
	server   *upstream     // nil if there is none to send to
	uncached int64         // tokens of the prompt that it will have to prefill
	wait     time.Duration // if only limits of servers leave none: the time after which to try again
	reserved bool          // the servers that are left are not for a suspected request
}

// chooseServer picks the server for the next send, and takes the request from its
// limit. On sticky routes it also sets req.queuedTokens.
func (n *Node) chooseServer(req *clientRequest, standing quarantine.Standing, excluded map[string]bool) choice {
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	list, wait := n.withinLimits(n.upstreams.candidates(req.service, excluded), req.priority)
	list = preferred(list, func(c candidate) bool { return !c.backingOff })
	if standing.Suspected && len(list) > 0 {
		if n.isReserved(req, standing) {
			return choice{reserved: true}
		}
		n.suspectRuns.discount(list, req.requestDigest())
	}
	picked := n.pick(req, standing, keepApart(list, standing))
	if picked.server == nil {
		return choice{wait: wait}
	}
	n.limits.Take(picked.server.run(), req.priority, clock.Now())
	return picked
}

// pick chooses among the candidates. The caller holds rngMu.
func (n *Node) pick(req *clientRequest, standing quarantine.Standing, list []candidate) choice {
	if req.trialVersion != "" {
		list = slices.DeleteFunc(list, func(c candidate) bool { return c.version != req.trialVersion })
	}
	if standing.Suspected && len(list) > 0 {
		return choice{server: chooseForSuspect(list, req.requestDigest()).upstream, uncached: req.tokensIn}
	}
	if req.route.Sticky {
		c, uncached, _ := chooseEngine(list, prompt{req.promptParts, req.tokensIn, n.cacheTracker.mayHold}, n.initial.FailureDomain, n.rng)
		req.queuedTokens = c.pendingPrefill
		return choice{server: c.upstream, uncached: uncached}
	}
	c, _ := leastLoaded(list, n.initial.FailureDomain, n.rng)
	return choice{server: c.upstream, uncached: req.tokensIn}
}
