package gateway

import (
	"context"
	"log"
	"math/rand/v2"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/process"
	"github.com/crankridge/crankridge/src/traffic"
)

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// quietLog drops the HTTP library's own lines, which name no request.
func quietLog() *log.Logger { return log.New(discard{}, "", 0) }

type discard struct{}

// Write drops what it is given.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// record is what this node tells of itself now.
func (n *Node) record() *cluster.Record {
	r := &cluster.Record{
		Node: n.set.Node, Incarnation: n.incarnation.Load(), Sequence: n.sequence.Add(1), Peers: n.set.Listen.Peers,
		Callers: n.set.Listen.Callers, FailureDomain: n.set.FailureDomain, Leaving: n.stopping(), Ready: n.table.Load() != nil,
	}
	for name, total := range n.quota.Totals() {
		r.Admitted = append(r.Admitted, &cluster.Tally{Name: name, Total: total})
	}
	for cell, count := range n.usage.recent() {
		r.Usage = append(r.Usage, &cluster.Usage{Window: cell.window, Customer: cell.customer, Count: count})
	}
	for id, load := range n.fleet.loads() {
		r.Loads = append(r.Loads, &cluster.Load{Server: id, Requests: int32(load.requests), UnreadTokens: load.unread})
	}
	r.Demands = n.scaler.demands(time.Now())
	return r
}

// Times for which what a node told counts.
const (
	fedFor    = 1500 * time.Millisecond
	leadAfter = 5 * time.Second // a process of a large system that is no hub tries for the duties after
)

// spread takes in what the other nodes told, or what a hub told of them all.
func (n *Node) spread() {
	for _, m := range n.members.All() {
		n.roster.Heard(m.Record.Node, m.Heard)
	}
	if summary, hub, at, ok := n.members.Summary(); ok && !n.peers.IsHub() {
		n.spreadSummary(summary, hub, at)
		return
	}
	n.quota.SetPeers(n.roster.Others())
	for _, m := range n.members.All() {
		r := m.Record
		if r.Node != n.set.Node {
			n.quota.MergeTotals(r.Node, r.Incarnation, totalsOf(r.Admitted), m.Heard)
		}
	}
	elsewhere := map[string]remoteLoad{}
	for _, r := range n.members.Others(cluster.LoadMaxAge) {
		for _, load := range r.Loads {
			sum := elsewhere[load.Server]
			sum.requests += int(load.Requests)
			sum.unread += load.UnreadTokens
			elsewhere[load.Server] = sum
		}
	}
	n.fleet.setElsewhere(elsewhere, remoteLoad{})
}

func (n *Node) spreadSummary(s *cluster.Summary, hub string, at time.Time) {
	n.quota.SetAggregate(hub, max(int(s.Nodes), n.roster.Count())-1)
	n.quota.MergeTotals(hub, sumIncarnation, totalsOf(s.Admitted), at)
	elsewhere := make(map[string]remoteLoad, len(s.Heavy))
	for _, load := range s.Heavy {
		elsewhere[load.Server] = remoteLoad{int(load.Requests), load.UnreadTokens}
	}
	n.fleet.setElsewhere(elsewhere, remoteLoad{int(s.MeanRequests), int64(s.MeanUnread)})
}

// sumIncarnation stands for the lives of all nodes in a sum over them.
const sumIncarnation = 1

func totalsOf(admitted []*cluster.Tally) map[string]float64 {
	totals := make(map[string]float64, len(admitted))
	for _, t := range admitted {
		totals[t.Name] = t.Total
	}
	return totals
}

// applyLoop puts every change of the view in force.
func (n *Node) applyLoop(ctx context.Context) {
	for {
		changed := n.view.Changed()
		n.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		// Changes that come close together are applied as one.
		if !pause(ctx, applyPause) {
			return
		}
	}
}

const applyPause = 10 * time.Millisecond

func (n *Node) apply() {
	if it, ok := n.view.Get(n.platform.ConfigKey()); ok {
		n.applyConfig(it.Value, it.Revision)
	}
	n.applyServers()
	n.applyEntries()
}

// decodedServer is a server's entry as it was decoded at a revision.
type decodedServer struct {
	revision int64
	server   traffic.Upstream
	unusable bool // the entry names no server
}

// applyServers takes in the list of servers; entries that did not change are
// not decoded again.
func (n *Node) applyServers() {
	items := n.view.List(n.platform.ServerPrefix())
	list := make([]traffic.Upstream, 0, len(items))
	decoded := make(map[string]decodedServer, len(items))
	for _, it := range items {
		known, ok := n.decoded[it.Key]
		if !ok || known.revision != it.Revision {
			s, err := n.platform.DecodeServer(it.Key, it.Value)
			if err != nil {
				klog.ErrorS(err, "server_entry_unusable", "key", it.Key, "revision", it.Revision)
			}
			known = decodedServer{it.Revision, s, err != nil}
		}
		decoded[it.Key] = known
		if !known.unusable {
			list = append(list, known.server)
		}
	}
	n.decoded = decoded
	n.beliefs.forget(n.fleet.set(list))
}

func (n *Node) applyConfig(raw []byte, revision int64) {
	if n.configIn == revision {
		return
	}
	n.configIn = revision
	c, err := n.platform.DecodeConfig(raw)
	if err != nil {
		klog.ErrorS(err, "configuration_unreadable", "revision", revision)
		return
	}
	if c.Version < n.version() {
		return
	}
	n.table.Store(traffic.NewTable(c))
	_, source := n.view.Complete()
	klog.InfoS("configuration", "version", c.Version, "revision", revision, "routes", len(c.Routes), "source", source)
}

// backstopLoop asks the store now and then how far it is, in case a watch has
// gone deaf: what is missing is listed.
func (n *Node) backstopLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !pause(ctx, backstopEvery+rand.N(backstopEvery/4)) {
			return
		}
		if n.fed() {
			continue
		}
		it, _, at, err := n.store.Get(ctx, n.platform.ConfigKey())
		if err != nil || !pause(ctx, backstopGrace) {
			continue
		}
		complete, _ := n.view.Complete()
		have, _ := n.view.Get(it.Key)
		if complete >= at && have.Revision >= it.Revision {
			continue
		}
		klog.InfoS("watch_deaf", "complete", complete, "store", at)
		if items, revision, err := n.store.List(ctx, ""); err == nil {
			n.view.ApplyList(items, revision)
		}
	}
}

// deafLoop cuts a watch that does not show what peers or a read have shown.
func (n *Node) deafLoop(ctx context.Context) {
	for ctx.Err() == nil {
		before, _ := n.view.Complete()
		if pause(ctx, backstopGrace) && !n.fed() && n.view.CancelStalledWatch(before) {
			klog.InfoS("watch_cut", "complete", before)
		}
	}
}

// pause waits; it returns false when ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// seeds are addresses where other nodes may be found.
func (n *Node) seeds() []string {
	out := append([]string{}, n.settings().Seeds...)
	for _, e := range n.roster.Entries() {
		if e.Node != n.set.Node {
			out = append(out, e.Peers)
		}
	}
	return out
}

// fed tells whether a hub tells this node of changes of the store, so that it
// needs no watch of its own.
func (n *Node) fed() bool {
	_, _, at, ok := n.members.Summary()
	return ok && time.Since(at) < fedFor && n.peers.UsesHubs() && !n.peers.IsHub()
}

// holdsDuty tells whether this node holds the lease of the duties.
func (n *Node) holdsDuty() bool {
	_, held := n.lease.Term()
	return held
}

// mayLead tells whether this node tries for the lease of the duties: in a
// large system the hubs do, and the others only when it stays free.
func (n *Node) mayLead() bool {
	return !n.peers.UsesHubs() || n.peers.IsHub() || !n.fed() && time.Since(n.began) > leadAfter
}

// dutyLoop keeps the lease and does what its holder does.
func (n *Node) dutyLoop(ctx context.Context) {
	go process.Every(ctx, n.lease.Interval(), func() {
		_, taken := n.view.Get(leaseKey)
		n.lease.Step(ctx, taken || !n.mayLead())
	})
	go process.Every(ctx, stepEvery, func() { n.usageStep(ctx) })
	if n.set.Duties.Scale {
		go process.Every(ctx, stepEvery, func() { n.scaleStep(ctx) })
	}
}

func (n *Node) usageStep(ctx context.Context) {
	for _, m := range n.members.All() {
		for _, u := range m.Record.Usage {
			n.ledger.Merge(m.Record.Node, m.Record.Incarnation, u.Window, u.Customer, u.Count)
		}
	}
	if n.set.Duties.Usage {
		n.report.Step(ctx)
	}
}
