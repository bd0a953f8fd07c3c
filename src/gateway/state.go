package gateway

import (
	"context"
	"log"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/process"
	"github.com/crankridge/crankridge/src/traffic"
)

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// listenForPeers listens for other nodes. A connection from one that has fallen silent ends
// soon, and with it the requests that it has forwarded.
func listenForPeers(address string) (net.Listener, error) {
	return conn.Listen(context.Background(), address)
}

// discardLog returns a logger that drops the messages of net/http, which do not
// name the request.
func discardLog() *log.Logger { return log.New(discardWriter{}, "", 0) }

type discardWriter struct{}

// Write discards p.
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// localRecord returns this node's current record for the exchange with peers.
func (n *Node) localRecord() *cluster.Record {
	r := &cluster.Record{
		Node: n.initial.Node, Incarnation: n.incarnation.Load(), Sequence: n.sequence.Add(1), Peers: n.initial.Listen.Peers,
		Callers: n.initial.Listen.Callers, FailureDomain: n.initial.FailureDomain, Leaving: n.stopping(), Ready: n.table.Load() != nil,
	}
	r.Admitted = n.reportAdmitted()
	for key, count := range n.openUsage() {
		r.Usage = append(r.Usage, &cluster.Usage{Window: key.window, Customer: key.customer, Count: count})
	}
	for id, load := range n.upstreams.localLoads() {
		r.Loads = append(r.Loads, &cluster.Load{Server: id, Requests: int32(load.requests), UnreadTokens: load.pendingPrefill})
	}
	r.Suspects, r.Interruptions = n.reportSuspects(), n.reportInterruptions()
	r.Limits = n.reportLimits()
	r.Reach = n.reportReach()
	r.Brittle = n.reportBrittle()
	r.Shortages = n.reportShortages()
	r.Demands = n.scaler.demands(clock.Now())
	return r
}

const (
	summaryMaxAge    = 1500 * time.Millisecond // age of the last summary up to which a hub is assumed to reply
	nonHubLeaseDelay = 5 * time.Second         // uptime after which a node that is not a hub may acquire the duty lease
)

// applyPeerState updates limits and loads from the records of the other nodes,
// or from the summary of a hub.
func (n *Node) applyPeerState() {
	for _, m := range n.members.All() {
		n.roster.Heard(m.Record.Node, m.Heard)
		if m.Record.Node != n.initial.Node {
			n.mergeLimits(m.Record.Limits)
			n.mergeBrittle(m.Record.Brittle)
		}
	}
	n.applyReports()
	n.applyShortages()
	n.forgetStreamPositions()
	n.limits.SetNodes(n.roster.Others(), clock.Now())
	n.upstreams.setNodes(n.roster.Count())
	if summary, hub, at, ok := n.members.Summary(); ok && !n.peers.IsHub() {
		n.applySummary(summary, hub, at)
		return
	}
	n.quota.SetPeers(n.sharingPeers())
	for _, m := range n.members.All() {
		r := m.Record
		if r.Node != n.initial.Node {
			n.mergeAdmitted(admit.PeerReport{Peer: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence, MadeAt: m.Heard}, r.Admitted)
		}
	}
	remote := map[string]serverLoad{}
	for _, r := range n.members.Others(cluster.LoadMaxAge) {
		for _, load := range r.Loads {
			sum := remote[load.Server]
			sum.requests += int(load.Requests)
			sum.pendingPrefill += load.UnreadTokens
			remote[load.Server] = sum
		}
	}
	n.upstreams.setRemoteLoads(remote, serverLoad{})
}

// sharingPeers returns the other nodes that may admit requests: not those that have said that they
// leave, and have been silent since for longer than they go on to admit.
func (n *Node) sharingPeers() []string {
	left := map[string]bool{}
	for _, m := range n.members.All() {
		left[m.Record.Node] = m.Record.Leaving && n.members.Age(m) > maxDrainPeriod
	}
	return slices.DeleteFunc(n.roster.Others(), func(node string) bool { return left[node] })
}

func (n *Node) applySummary(s *cluster.Summary, hub string, at time.Time) {
	n.mergeLimits(s.Limits)
	n.mergeBrittle(s.Brittle)
	nodes, silent := max(int(s.Nodes), n.roster.Count()), 0
	if s.Heard > 0 {
		silent = max(nodes-int(s.Heard), 0)
	}
	n.quota.SetAggregate(hub, nodes-1, admit.SilentPeers{Count: silent, For: cluster.HeardTimeout})
	n.mergeAdmitted(admit.PeerReport{Peer: hub, Sequence: at.UnixMicro(), MadeAt: at}, s.Admitted)
	remote := make(map[string]serverLoad, len(s.Heavy))
	for _, load := range s.Heavy {
		remote[load.Server] = serverLoad{int(load.Requests), load.UnreadTokens}
	}
	n.upstreams.setRemoteLoads(remote, serverLoad{int(s.MeanRequests), int64(s.MeanUnread)})
}

// reportAdmitted returns what this node has admitted of each customer, and the levels of its
// buckets, for its record.
func (n *Node) reportAdmitted() []*cluster.Tally {
	var out []*cluster.Tally
	totals, levels := n.quota.Totals(), n.quota.Levels(clock.Now())
	for name, total := range totals {
		if _, ok := levels[name]; !ok {
			out = append(out, &cluster.Tally{Name: name, Total: total})
		}
	}
	for name, bucket := range levels {
		out = append(out, &cluster.Tally{Name: name, Total: totals[name], Level: &bucket.Level, Recent: bucket.Recent})
	}
	return out
}

// mergeAdmitted adds what a node, or a hub for all others, reports of the customers.
func (n *Node) mergeAdmitted(report admit.PeerReport, admitted []*cluster.Tally) {
	levels := map[string]admit.BucketLevel{}
	report.Totals = make(map[string]float64, len(admitted))
	for _, t := range admitted {
		report.Totals[t.Name] = t.Total
		if t.Level != nil {
			levels[t.Name] = admit.BucketLevel{Level: *t.Level, Recent: t.Recent}
		}
	}
	n.quota.MergeTotals(report)
	n.quota.AdoptLevels(report.Peer, levels, report.MadeAt, clock.Now())
}

// applyLoop applies every change of the view.
func (n *Node) applyLoop(ctx context.Context) {
	for {
		changed := n.view.Changed()
		n.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		// Batch changes that arrive in quick succession.
		if !sleep(ctx, applyDelay) {
			return
		}
	}
}

const applyDelay = 10 * time.Millisecond

func (n *Node) apply() {
	n.restoreStreams()
	if it, ok := n.view.Get(n.platform.ConfigKey()); ok {
		n.applyConfig(it.Value, it.Revision)
	}
	n.applyServers()
	n.applyEntries()
	n.applySuspects()
}

// decodedServer caches the decoded entry of a server at one revision.
type decodedServer struct {
	revision int64
	server   traffic.Upstream
	invalid  bool // the entry could not be decoded
}

// applyServers updates the server list. Unchanged entries are not decoded again.
func (n *Node) applyServers() {
	items := n.view.List(n.platform.ServerPrefix())
	list := make([]traffic.Upstream, 0, len(items))
	decoded := make(map[string]decodedServer, len(items))
	for _, it := range items {
		entry, ok := n.decodedServers[it.Key]
		if !ok || entry.revision != it.Revision {
			s, err := n.platform.DecodeServer(it.Key, it.Value)
			if err != nil {
				klog.ErrorS(err, "server_entry_unusable", "key", it.Key, "revision", it.Revision)
				n.metrics.UnusableEntry()
			}
			entry = decodedServer{it.Revision, s, err != nil}
		}
		decoded[it.Key] = entry
		if !entry.invalid {
			list = append(list, entry.server)
		}
	}
	n.decodedServers = decoded
	n.cacheTracker.removeServers(n.upstreams.update(list))
	n.applyListedLimits(list)
}

func (n *Node) applyConfig(raw []byte, revision int64) {
	if n.configRevision == revision {
		return
	}
	n.configRevision = revision
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

// storeCheckLoop polls the revision of the store and lists all items if the watch
// has missed a change.
func (n *Node) storeCheckLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !sleep(ctx, storeCheckInterval+rand.N(storeCheckInterval/4)) {
			return
		}
		if n.receivesHubUpdates() {
			continue
		}
		sent := clock.Now()
		stored, _, storeRevision, err := n.store.Get(ctx, n.platform.ConfigKey())
		if err != nil || !sleep(ctx, watchLagLimit) {
			continue
		}
		n.view.Confirm(storeRevision, sent)
		complete, _ := n.view.Complete()
		current, _ := n.view.Get(stored.Key)
		if complete >= storeRevision && current.Revision >= stored.Revision {
			continue
		}
		klog.InfoS("watch_deaf", "complete", complete, "store", storeRevision)
		if items, revision, err := n.store.List(ctx, ""); err == nil {
			n.view.ApplyList(items, revision)
		}
	}
}

// stalledWatchLoop cancels a watch that does not deliver changes which peers or a
// read have already seen.
func (n *Node) stalledWatchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		before, _ := n.view.Complete()
		if sleep(ctx, watchLagLimit) && !n.receivesHubUpdates() && n.view.CancelStalledWatch(before) {
			klog.InfoS("watch_cut", "complete", before)
		}
	}
}

// sleep waits for d. It returns false if ctx is canceled first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// seeds returns peer addresses of other nodes, from the settings and the store.
func (n *Node) seeds() []string {
	out := append([]string{}, n.settings().Seeds...)
	for _, e := range n.roster.Entries() {
		if e.Node != n.initial.Node {
			out = append(out, e.Peers)
		}
	}
	return out
}

// holdsLease reports whether this node holds the duty lease.
func (n *Node) holdsLease() bool {
	_, held := n.lease.Term()
	return held
}

// mayAcquireLease reports whether this node may try to acquire the duty lease. In
// a large system the hubs do; other nodes only if no hub replies to them.
func (n *Node) mayAcquireLease() bool {
	return !n.peers.UsesHubs() || n.peers.IsHub() || !n.hearsHub() && clock.Since(n.startedAt) > nonHubLeaseDelay
}

// dutyLoop starts the loops that maintain the duty lease and perform the duties.
func (n *Node) dutyLoop(ctx context.Context) {
	go process.Every(ctx, n.lease.Interval(), func() {
		_, taken := n.view.Get(dutyLeaseKey)
		n.lease.Step(ctx, taken || !n.mayAcquireLease())
	})
	go process.Every(ctx, stepInterval, func() { n.usageStep(ctx) })
	if n.initial.Duties.Scale {
		go process.Every(ctx, stepInterval, func() { n.scaleStep(ctx) })
	}
}

// usageStep merges the usage counts of all nodes and reports the windows that have
// settled.
func (n *Node) usageStep(ctx context.Context) {
	n.ledger.DropBefore(n.usageReporter.FirstWindow())
	for _, m := range n.members.All() {
		for _, u := range m.Record.Usage {
			n.ledger.Merge(m.Record.Node, m.Record.Incarnation, u.Window, u.Customer, u.Count)
		}
	}
	if n.initial.Duties.Usage {
		n.usageReporter.Step(ctx)
	}
}
