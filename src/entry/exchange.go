package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/view"
)

const (
	demandSampleSize    = 8                     // demands of other nodes in a digest
	maxLeavingUpstreams = 32                    // in a digest
	notifyFanOut        = 3                     // peers to which a batch of notices is sent
	notifyBatchWindow   = 20 * time.Millisecond // time for which notices are collected into a batch
	exchangeTimeout     = 2 * time.Second       // of a call to exchange digests or send notices
)

// exchangeLoop periodically exchanges digests with a random peer and fetches the
// changes that this node's view lacks.
func (n *Node) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if addr := n.pickPeer(); addr != "" {
			n.exchange(ctx, addr)
		}
		select {
		case <-ctx.Done():
		case <-time.After(request.Jitter(n.settings.Exchange.Interval)):
		}
	}
}

// pickPeer returns the address of a random live node, or of a configured peer if
// no other node is known.
func (n *Node) pickPeer() string {
	var addrs []string
	for _, node := range n.fleet.Nodes() {
		if node.Name != n.self.Name {
			addrs = append(addrs, node.Peers)
		}
	}
	if len(addrs) == 0 {
		for _, addr := range n.settings.Peers {
			if addr != n.self.Peers {
				addrs = append(addrs, addr)
			}
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	return addrs[rand.IntN(len(addrs))]
}

func (n *Node) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := n.pool.Client(addr).Exchange(ctx, &peer.ExchangeRequest{Digest: n.digest()})
	n.recordCall(addr, err)
	if err != nil {
		return
	}
	n.mergeDigest(resp.Digest)
	if resp.Complete > n.revision() {
		n.view.ApplyPeer(view.Delta{Items: itemsFromProto(resp.Items), CompleteRevision: resp.Complete, IsSnapshot: resp.Whole})
	}
}

// Exchange merges the digest of a peer and returns the changes that it has not
// seen. If the peer has a later revision, this node requests an exchange in turn.
func (n *Node) Exchange(_ context.Context, req *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	digest := req.GetDigest()
	n.mergeDigest(digest)
	resp := &peer.ExchangeResponse{Digest: n.digest(), Complete: n.revision()}
	if digest.GetComplete() < resp.Complete {
		delta := n.view.DeltaSince(digest.GetComplete())
		resp.Complete, resp.Whole = delta.CompleteRevision, delta.IsSnapshot
		for _, it := range delta.Items {
			resp.Items = append(resp.Items, &peer.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
		}
	}
	if digest.GetComplete() > resp.Complete {
		if sender, ok := n.fleet.Find(digest.Node); ok {
			go n.exchange(context.Background(), sender.Peers)
		}
	}
	return resp, nil
}

func itemsFromProto(items []*peer.Item) []ports.Item {
	var converted []ports.Item
	for _, it := range items {
		converted = append(converted, ports.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	return converted
}

func nodeNames(nodes []member.Node) []string {
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	return names
}

// digest returns a summary of this node's state: the revision of its view, its open
// requests, customer demands that it measured or received, and leaving upstreams.
func (n *Node) digest() *peer.Digest {
	now := time.Now()
	n.limiter.SetLive(nodeNames(n.fleet.Nodes()))
	d := &peer.Digest{Node: n.self.Name, Incarnation: n.self.Incarnation, Complete: n.revision(), Inflight: int32(n.coord.OpenRequests())}
	for _, dm := range append(n.limiter.LocalDemand(now), n.limiter.Sample(demandSampleSize, now)...) {
		d.Demands = append(d.Demands, &peer.Demand{Node: dm.Node, Customer: dm.Customer, Rate: float32(dm.Rate), AtMs: dm.At.UnixMilli()})
	}
	for name, at := range n.registry.LeavingDeadlines() {
		if len(d.Leaving) < maxLeavingUpstreams && time.Since(at) < time.Minute {
			d.Leaving = append(d.Leaving, &peer.Leaving{Name: name, DeadlineMs: at.UnixMilli()})
		}
	}
	return d
}

func (n *Node) mergeDigest(d *peer.Digest) {
	if d == nil {
		return
	}
	n.fleet.RecordMessage(d.Node, int(d.Inflight))
	for _, dm := range d.Demands {
		n.limiter.MergeDemand(admit.Demand{Node: dm.Node, Customer: dm.Customer, Rate: float64(dm.Rate), At: time.UnixMilli(dm.AtMs)})
	}
	n.mergeLeaving(d.Leaving)
}

func (n *Node) mergeLeaving(list []*peer.Leaving) {
	for _, l := range list {
		n.registry.MarkLeaving(l.Name, time.UnixMilli(l.DeadlineMs))
	}
}

// onUpstreamLeaving queues a notice that an upstream is leaving.
func (n *Node) onUpstreamLeaving(name string, deadline time.Time) {
	n.enqueueNotice(notice{leaving: &peer.Leaving{Name: name, DeadlineMs: deadline.UnixMilli()}})
}

// notifyLoop sends batches of notices to random peers. Each peer forwards the
// notices that are new to it.
func (n *Node) notifyLoop(ctx context.Context) {
	for {
		batch := &peer.NotifyRequest{}
		select {
		case <-ctx.Done():
			return
		case item := <-n.notices:
			item.addTo(batch)
		}
		window := time.After(notifyBatchWindow)
		for collecting := true; collecting; {
			select {
			case item := <-n.notices:
				item.addTo(batch)
			case <-window:
				collecting = false
			}
		}
		for range notifyFanOut {
			if addr := n.pickPeer(); addr != "" {
				go n.notify(ctx, addr, batch)
			}
		}
	}
}

// recordCall records the result of a call to a peer. The first failure makes the
// peer suspected, which other peers are told, so that the node that writes the
// shard map learns of it.
func (n *Node) recordCall(addr string, err error) {
	if suspect := n.fleet.RecordCall(addr, err == nil); suspect != "" && n.fleet.RecordPeerSuspicion(suspect) {
		n.enqueueNotice(notice{suspect: suspect})
	}
}

// notice reports a leaving upstream or a suspected node.
type notice struct {
	leaving *peer.Leaving
	suspect string
}

func (n notice) addTo(batch *peer.NotifyRequest) {
	if n.leaving != nil {
		batch.Leaving = append(batch.Leaving, n.leaving)
	}
	if n.suspect != "" {
		batch.Suspects = append(batch.Suspects, n.suspect)
	}
}

// enqueueNotice queues a notice for notifyLoop, or drops it if the queue is full.
func (n *Node) enqueueNotice(item notice) {
	select {
	case n.notices <- item:
	default:
		klog.InfoS("notice_dropped", "queued", noticeQueueSize)
	}
}

func (n *Node) notify(ctx context.Context, addr string, batch *peer.NotifyRequest) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	_, err := n.pool.Client(addr).Notify(ctx, batch)
	n.recordCall(addr, err)
}

// Notify handles notices of leaving upstreams and suspected nodes.
func (n *Node) Notify(_ context.Context, req *peer.NotifyRequest) (*peer.Empty, error) {
	n.mergeLeaving(req.Leaving)
	for _, name := range req.Suspects {
		if n.fleet.RecordPeerSuspicion(name) {
			n.enqueueNotice(notice{suspect: name})
		}
	}
	return &peer.Empty{}, nil
}

// Inventory returns the revision up to which this node's view is complete and, on
// request, the epochs of the shards that it is ready for.
func (n *Node) Inventory(_ context.Context, req *peer.InventoryRequest) (*peer.InventoryResponse, error) {
	resp := &peer.InventoryResponse{Node: n.self.Name, Complete: n.revision()}
	if !req.Shards {
		return resp, nil
	}
	for shard, epoch := range n.ledger.Ready() {
		resp.Ready = append(resp.Ready, &peer.ShardReady{Shard: int32(shard), Epoch: epoch})
	}
	return resp, nil
}

// The remaining methods of peer.Peer are implemented by the coordinator.

func (n *Node) Claim(ctx context.Context, req *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	return n.coord.Claim(ctx, req)
}

func (n *Node) Settle(ctx context.Context, req *peer.SettleRequest) (*peer.Empty, error) {
	return n.coord.Settle(ctx, req)
}

func (n *Node) Lookup(ctx context.Context, req *peer.LookupRequest) (*peer.LookupResponse, error) {
	return n.coord.Lookup(ctx, req)
}

func (n *Node) Seal(ctx context.Context, req *peer.SealRequest) (*peer.SealResponse, error) {
	return n.coord.Seal(ctx, req)
}

func (n *Node) Inquire(ctx context.Context, req *peer.InquireRequest) (*peer.InquireResponse, error) {
	return n.coord.Inquire(ctx, req)
}

func (n *Node) Read(ctx context.Context, req *peer.ReadRequest) (*peer.ReadResponse, error) {
	return n.coord.Read(ctx, req)
}

func (n *Node) Preempt(ctx context.Context, req *peer.PreemptRequest) (*peer.PreemptResponse, error) {
	return n.coord.Preempt(ctx, req)
}

var _ peer.Peer = (*Node)(nil)

// suspectedNodes returns the names of the nodes to which a call failed recently.
func suspectedNodes(f *member.Fleet) []string {
	var names []string
	for _, node := range f.Nodes() {
		if f.RecentlyFailed(node.Name) {
			names = append(names, node.Name)
		}
	}
	return names
}
