package gateway

import (
	"github.com/crankridge/crankridge/src/traffic"
)

// localLoads returns this node's load on each server that has any.
func (p *upstreamPool) localLoads() map[string]serverLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]serverLoad{}
	for id, s := range p.byID {
		if s.requests > 0 || s.pendingPrefill > 0 {
			out[id] = serverLoad{s.requests, s.pendingPrefill}
		}
	}
	return out
}

// setRemoteLoads sets the combined load of all other nodes. Servers missing
// from loads get defaultLoad.
func (p *upstreamPool) setRemoteLoads(loads map[string]serverLoad, defaultLoad serverLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, s := range p.byID {
		load, ok := loads[id]
		if !ok {
			load = defaultLoad
		}
		s.remoteLoad = load
	}
}

// candidates returns the servers of a service that may receive a request,
// sorted by id. Resting and unreachable servers are not among them, and ejected ones only if
// there are no others.
func (p *upstreamPool) candidates(service string, excluded map[string]bool) []candidate {
	return p.candidatesOf(service, anyVersion, excluded)
}

// anyVersion stands for all versions of a service's servers.
const anyVersion = ""

// mayServe reports whether requests that are bound to a version may be sent to a server. The
// caller holds the lock.
func (p *upstreamPool) mayServe(s *upstream, version string) bool {
	return version == anyVersion || s.version == version && p.runConfirmed(s)
}

// candidatesOf is candidates for servers of one version.
func (p *upstreamPool) candidatesOf(service, version string, excluded map[string]bool) []candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	all := p.byService[service]
	out := make([]candidate, 0, len(all))
	var ejected []candidate
	for _, s := range all {
		if s.draining || excluded[s.id] || s.resting(now) || !s.usable() || !p.mayServe(s, version) {
			continue
		}
		c := candidate{upstream: s, id: s.id, domain: s.entry.FailureDomain, slots: s.entry.Slots, failureRate: s.failureRate,
			requests: p.totalRequests(s, now), pendingPrefill: s.pendingPrefill + s.remoteLoad.pendingPrefill,
			suspects: s.suspects, isolated: s.isolated, version: s.version, backingOff: s.backingOff(now)}
		if now.Before(s.ejectedUntil) {
			ejected = append(ejected, c)
			continue
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return ejected
	}
	return out
}

// servers returns all servers of a service, including draining ones.
func (p *upstreamPool) servers(service string) []traffic.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []traffic.Upstream
	for _, s := range p.byService[service] {
		entry := s.entry
		entry.Draining = entry.Draining || s.draining
		out = append(out, entry)
	}
	return out
}

// runningRequests returns the number of requests that all nodes have at a server.
func (p *upstreamPool) runningRequests(id string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.byID[id]
	if s == nil {
		return 0
	}
	return float64(s.requests + s.remoteLoad.requests)
}
