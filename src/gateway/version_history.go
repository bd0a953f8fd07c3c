package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/origin"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/traffic"
	"github.com/crankridge/crankridge/src/view"
)

const (
	historyPrefix   = ownPrefix + "versions/" // followed by the service; the values are origin.History
	historyTimeout  = 300 * time.Millisecond  // of one write
	historyTakeover = 2 * time.Second         // after which a node writes what the holder of the duties should have written
	historySpread   = 2 * time.Second         // over which the other nodes do so
	entryLapse      = 3 * time.Second         // in which the entry of a server that runs on may be missing

	// A version at which no stream begins before it is stored.
	newVersionTakeover = 500 * time.Millisecond // the same as historyTakeover
	newVersionSpacing  = 10 * time.Millisecond  // between the nodes that do so
)

// versionHistory returns the versions that the servers of a service have had, and the revision
// of its key, 0 if there is none yet.
func (n *Node) versionHistory(service string) (h origin.History, revision int64, ok bool) {
	it, ok := n.view.Get(historyPrefix + service)
	if !ok {
		return origin.History{}, 0, false
	}
	h, ok = decodeHistory(it)
	return h, it.Revision, ok
}

// decodeHistory decodes a stored history; ok is false if that cannot be done.
func decodeHistory(it ports.Item) (h origin.History, ok bool) {
	h, err := origin.DecodeHistory(it.Value)
	if err != nil {
		klog.ErrorS(err, "version_history_unusable", "key", it.Key, "revision", it.Revision)
		return origin.History{}, false
	}
	return h, true
}

// atStoredVersions returns the candidates at which a request may begin. A resumable stream begins
// only at a version that the stored history names, so that whoever reads the history later knows
// of all versions at which streams may have begun.
func (n *Node) atStoredVersions(req *clientRequest, list []candidate) []candidate {
	if !req.resumable() || req.isBound() {
		return list
	}
	history, _, ok := n.versionHistory(req.service)
	if !ok {
		return nil
	}
	now := n.clusterTime()
	return slices.DeleteFunc(list, func(c candidate) bool { return !history.Names(c.version, now) })
}

// historyStep writes to the store which versions the servers of services with resumable streams
// have, where that has changed. The holder of the duties does so at once, the others later.
func (n *Node) historyStep(ctx context.Context) {
	table := n.table.Load()
	if table == nil {
		return
	}
	for _, service := range resumableServices(table) {
		c := n.changedHistory(service)
		if !c.changed {
			delete(n.historyDue, service)
			continue
		}
		if n.isHistoryDue(service, c.newVersion) {
			n.writeHistory(ctx, service, c.next, c.revision)
		}
	}
}

// historyChange is what the history of a service lacks.
type historyChange struct {
	next       origin.History
	revision   int64 // of the history that next is to replace, 0 if there is none
	changed    bool
	newVersion bool // next names a version that the stored history does not
}

// changedHistory returns the history that the servers of a service call for now.
func (n *Node) changedHistory(service string) historyChange {
	h, revision, ok := n.versionHistory(service)
	if !ok {
		h = origin.History{Since: n.historyStart()}
	}
	next, changed := h.Update(n.upstreams.listedVersions(service), n.clusterTime())
	return historyChange{next, revision, changed, next.Adds(h)}
}

// isHistoryDue reports whether this node is to write the changed history of a service, which may
// have a new version.
func (n *Node) isHistoryDue(service string, newVersion bool) bool {
	due, ok := n.historyDue[service]
	if !ok {
		wait := historyTakeover + rand.N(historySpread)
		if newVersion {
			wait = newVersionTakeover + rand.N(time.Duration(n.roster.Count())*newVersionSpacing)
		}
		due = clock.Now().Add(wait)
		n.historyDue[service] = due
	}
	return n.holdsLease() || clock.Now().After(due)
}

// writeHistory stores a history in place of the one at a revision, and reports whether this node
// knows from the response what is stored now.
func (n *Node) writeHistory(ctx context.Context, service string, h origin.History, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	key := historyPrefix + service
	result, err := n.store.PutIf(ctx, key, h.Encode(), revision, 0)
	if err != nil {
		klog.InfoS("version_history_not_stored", "service", service, "err", err)
		return false // the next step tries again
	}
	klog.InfoS("version_history", "service", service, "history", string(h.Encode()), "stored", result.Succeeded)
	stored := result.Current // of another node
	if result.Succeeded {
		stored = ports.Item{Key: key, Value: h.Encode(), Revision: result.Revision}
	}
	if stored.Revision > 0 {
		n.view.ApplyPeer(view.Delta{Items: []ports.Item{stored}})
	}
	return true
}

// historyStart returns from when on a history that begins now is complete, zero if no server of
// its service can have been missed: before the first node, or since the other histories began.
func (n *Node) historyStart() time.Time {
	if n.initial.FirstStart || len(n.view.List(historyPrefix)) > 0 {
		return time.Time{}
	}
	return n.clusterTime()
}

// resumableServices returns the services of routes whose streams may be resumed, sorted.
func resumableServices(table *traffic.Table) []string {
	var out []string
	for i := range table.Config.Routes {
		route := &table.Config.Routes[i]
		if route.Kind == traffic.Stream && route.Resumable {
			out = append(out, route.Services()...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// listedVersions returns the versions of a service's servers, draining ones included.
func (p *upstreamPool) listedVersions(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for _, s := range p.byService[service] {
		if !slices.Contains(out, s.version) {
			out = append(out, s.version)
		}
	}
	slices.Sort(out)
	return out
}

// hasVersion reports whether a service has a server of a version that is not draining, or had
// one a moment ago, whose entry may be back.
func (p *upstreamPool) hasVersion(service, version string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.byService[service] {
		if s.version == version && !s.draining {
			return true
		}
	}
	now := p.now()
	for _, s := range p.unlisted {
		if s.service == service && s.version == version && !s.draining && now.Sub(s.unlistedAt) < entryLapse {
			return true
		}
	}
	return false
}
