package gateway

import (
	"sync"

	"github.com/crankridge/crankridge/src/quarantine"
)

// Servers of a service that are kept from requests which may crash them.
const (
	crashesToReserveHalf = 2 // crashes from which a request leaves half of the servers alone
	minReserved          = 1 // servers that every suspected request leaves alone
)

// chooseForSuspect picks the server for a suspected request: by its digest, so that all
// copies of it, at all nodes, run at one server, and crash no others.
func chooseForSuspect(list []candidate, digest quarantine.Digest) candidate {
	list = preferred(list, func(c candidate) bool { return c.slots == 0 || c.requests < c.slots })
	return rendezvousOwner(list, digest.String())
}

// isReserved reports whether the servers that are left are not for a suspected request,
// which might crash them too. A service with one server has none to reserve.
func (n *Node) isReserved(req *clientRequest, decision quarantine.Decision) bool {
	usable, listed := n.upstreams.usable(req.service)
	reserved := min(minReserved, listed-1)
	if decision.Possible >= crashesToReserveHalf {
		reserved = listed / 2
	}
	return usable <= reserved && !n.quarantine.HasCompleted(decision.Lead)
}

// usable returns how many servers of a service take requests now, and how many are listed
// and not draining.
func (p *upstreamPool) usable(service string) (usable, listed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, s := range p.byService[service] {
		if s.draining {
			continue
		}
		listed++
		if s.usable() && !s.resting(now) && !now.Before(s.ejectedUntil) {
			usable++
		}
	}
	return usable, listed
}

// suspectRuns counts the copies of suspected requests that this node has in progress.
type suspectRuns struct {
	mu    sync.Mutex
	count map[suspectRun]suspectCount
}

// suspectRun is a suspected request, or one with a suspected part, at a server.
type suspectRun struct {
	digest quarantine.Digest
	server string
}

// suspectCount is what upstreamPool.beginSuspect has counted for it.
type suspectCount struct{ suspects, isolated int }

// add counts a copy that begins, or ends if count is -1.
func (r *suspectRuns) add(digest quarantine.Digest, server string, standing quarantine.Standing, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count = map[suspectRun]suspectCount{}
	}
	key := suspectRun{digest, server}
	sum := r.count[key]
	if standing.Crashes > 0 {
		sum.suspects += count
	}
	if standing.Isolated() {
		sum.isolated += count
	}
	r.count[key] = sum
	if sum == (suspectCount{}) {
		delete(r.count, key)
	}
}

// discount takes the copies of a request itself out of the suspects at each candidate.
func (r *suspectRuns) discount(list []candidate, digest quarantine.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range list {
		sum := r.count[suspectRun{digest, list[i].id}]
		list[i].suspects -= sum.suspects
		list[i].isolated -= sum.isolated
	}
}
