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
	full     bool          // only the places at brittle servers leave none
	reserved bool          // the servers that are left are not for a suspected request
	unstored bool          // only versions that are not stored yet are left, where no stream may begin
}

// chooseServer picks the server for the next send, takes the request from its limit and adds
// it to its load; cancelChoice reverts both. On sticky routes it also sets req.queuedTokens.
func (n *Node) chooseServer(req *clientRequest, decision quarantine.Decision, excluded map[string]bool) choice {
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	listed := n.upstreams.candidatesOf(req.service, req.origin.Version, excluded)
	unstored := len(listed) > 0
	listed = n.atStoredVersions(req, listed)
	unstored = unstored && len(listed) == 0
	list, wait := n.withinLimits(listed, req.priority)
	list, full := n.withinPlaces(list)
	list = n.leaveRoom(req, list)
	list = preferred(list, func(c candidate) bool { return !c.backingOff })
	if decision.Suspected && len(list) > 0 {
		if n.isReserved(req, decision) {
			return choice{reserved: true}
		}
		n.suspectRuns.discount(list, decision.Lead)
	}
	picked := n.pick(req, decision, keepApart(list, decision.Standing))
	if picked.server == nil {
		return choice{wait: wait, full: full, unstored: unstored}
	}
	n.limits.Take(picked.server.run(), req.priority, clock.Now())
	n.upstreams.beginRequest(picked.server, picked.uncached)
	return picked
}

// cancelChoice reverts chooseServer for a request that is not sent.
func (n *Node) cancelChoice(c choice) {
	n.limits.Refund(c.server.run())
	n.upstreams.confirmRequest(c.server)
	n.upstreams.prefillDone(c.server, c.uncached)
	n.upstreams.endRequest(c.server)
}

// pick chooses among the candidates. The caller holds rngMu.
func (n *Node) pick(req *clientRequest, decision quarantine.Decision, list []candidate) choice {
	if req.trialVersion != "" {
		list = slices.DeleteFunc(list, func(c candidate) bool { return c.version != req.trialVersion })
	}
	if decision.Suspected && len(list) > 0 {
		return choice{server: chooseForSuspect(list, decision.Lead).upstream, uncached: req.tokensIn}
	}
	if req.route.Sticky {
		c, uncached, _ := chooseEngine(list, prompt{req.promptParts, req.tokensIn, n.cacheTracker.mayHold}, n.initial.FailureDomain, n.rng)
		req.queuedTokens = c.pendingPrefill
		return choice{server: c.upstream, uncached: uncached}
	}
	c, _ := leastLoaded(list, n.initial.FailureDomain, n.rng)
	return choice{server: c.upstream, uncached: req.tokensIn}
}
