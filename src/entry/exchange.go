package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/view"
)

const (
	demandSample  = 8
	leavingSample = 32
	fanOut        = 3
	flushNotices  = 20 * time.Millisecond
	exchangeLimit = 2 * time.Second
)

// exchangeLoop swaps digests with one peer at a time.
func (n *Node) exchangeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if addr := n.pickPeer(); addr != "" {
			n.exchange(ctx, addr)
		}
		select {
		case <-ctx.Done():
		case <-time.After(request.Jitter(n.set.Exchange.Interval)):
		}
	}
}

// pickPeer takes a random live node, or a configured address while none is known.
func (n *Node) pickPeer() string {
	var others []string
	for _, o := range n.fleet.Nodes() {
		if o.Name != n.self.Name {
			others = append(others, o.Peers)
		}
	}
	if len(others) == 0 {
		for _, a := range n.set.Peers {
			if a != n.self.Peers {
				others = append(others, a)
			}
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

func (n *Node) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	resp, err := n.pool.Client(addr).Exchange(ctx, &peer.ExchangeRequest{Digest: n.digest()})
	n.called(addr, err)
	if err != nil {
		return
	}
	n.take(resp.Digest)
	if resp.Complete > n.revision() {
		n.view.ApplyPeer(view.Delta{Items: itemsOf(resp.Items), Complete: resp.Complete, Whole: resp.Whole})
	}
}

// Exchange answers a peer: its digest is taken in, and it gets what it lacks.
// When it has more, this node asks it back.
func (n *Node) Exchange(_ context.Context, m *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	d := m.GetDigest()
	n.take(d)
	out := &peer.ExchangeResponse{Digest: n.digest(), Complete: n.revision()}
	if d.GetComplete() < out.Complete {
		delta := n.view.DeltaSince(d.GetComplete())
		out.Complete, out.Whole = delta.Complete, delta.Whole
		for _, it := range delta.Items {
			out.Items = append(out.Items, &peer.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
		}
	}
	if d.GetComplete() > out.Complete {
		if o, ok := n.fleet.Find(d.Node); ok {
			go n.exchange(context.Background(), o.Peers)
		}
	}
	return out, nil
}

func itemsOf(items []*peer.Item) []ports.Item {
	var out []ports.Item
	for _, it := range items {
		out = append(out, ports.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	return out
}

func namesOf(nodes []member.Node) []string {
	out := make([]string, 0, len(nodes))
	for _, o := range nodes {
		out = append(out, o.Name)
	}
	return out
}

func (n *Node) digest() *peer.Digest {
	now := time.Now()
	n.limiter.SetLive(namesOf(n.fleet.Nodes()))
	d := &peer.Digest{Node: n.self.Name, Incarnation: n.self.Incarnation, Complete: n.revision(), Inflight: int32(n.coord.OpenRequests())}
	for _, dm := range append(n.limiter.LocalDemand(now), n.limiter.Sample(demandSample, now)...) {
		d.Demands = append(d.Demands, &peer.Demand{Node: dm.Node, Customer: dm.Customer, Rate: float32(dm.Rate), AtMs: dm.At.UnixMilli()})
	}
	for name, at := range n.registry.LeavingDeadlines() {
		if len(d.Leaving) < leavingSample && time.Since(at) < time.Minute {
			d.Leaving = append(d.Leaving, &peer.Leaving{Name: name, DeadlineMs: at.UnixMilli()})
		}
	}
	return d
}

func (n *Node) take(d *peer.Digest) {
	if d == nil {
		return
	}
	n.fleet.Heard(d.Node, int(d.Inflight))
	for _, dm := range d.Demands {
		n.limiter.MergeDemand(admit.Demand{Node: dm.Node, Customer: dm.Customer, Rate: float64(dm.Rate), At: time.UnixMilli(dm.AtMs)})
	}
	n.takeLeaving(d.Leaving)
}

func (n *Node) takeLeaving(list []*peer.Leaving) {
	for _, l := range list {
		n.registry.MarkLeaving(l.Name, time.UnixMilli(l.DeadlineMs))
	}
}

// upstreamLeft queues first-hand or new second-hand news for passing on.
func (n *Node) upstreamLeft(name string, deadline time.Time) {
	n.spread(news{leaving: &peer.Leaving{Name: name, DeadlineMs: deadline.UnixMilli()}})
}

// notifyLoop passes news on to a few peers at once; each of them does the same
// with what is new to it.
func (n *Node) notifyLoop(ctx context.Context) {
	for {
		batch := &peer.NotifyRequest{}
		select {
		case <-ctx.Done():
			return
		case item := <-n.news:
			item.into(batch)
		}
		wait := time.After(flushNotices)
		for open := true; open; {
			select {
			case item := <-n.news:
				item.into(batch)
			case <-wait:
				open = false
			}
		}
		for range fanOut {
			if addr := n.pickPeer(); addr != "" {
				go n.notify(ctx, addr, batch)
			}
		}
	}
}

// called notes the result of a call to a peer; a first failure is passed on,
// so that whoever writes the shard map hears of it.
func (n *Node) called(addr string, err error) {
	if silent := n.fleet.RecordCall(addr, err == nil); silent != "" && n.fleet.RecordPeerSuspicion(silent) {
		n.spread(news{suspect: silent})
	}
}

// news is one thing to pass on: a leaving upstream or a suspected node.
type news struct {
	leaving *peer.Leaving
	suspect string
}

func (i news) into(m *peer.NotifyRequest) {
	if i.leaving != nil {
		m.Leaving = append(m.Leaving, i.leaving)
	}
	if i.suspect != "" {
		m.Suspects = append(m.Suspects, i.suspect)
	}
}

func (n *Node) spread(item news) {
	select {
	case n.news <- item:
	default:
	}
}

func (n *Node) notify(ctx context.Context, addr string, batch *peer.NotifyRequest) {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	_, err := n.pool.Client(addr).Notify(ctx, batch)
	n.called(addr, err)
}

// Notify takes in news of leaving upstreams and suspected nodes.
func (n *Node) Notify(_ context.Context, m *peer.NotifyRequest) (*peer.Empty, error) {
	n.takeLeaving(m.Leaving)
	for _, name := range m.Suspects {
		if n.fleet.RecordPeerSuspicion(name) {
			n.spread(news{suspect: name})
		}
	}
	return &peer.Empty{}, nil
}

// Inventory tells what is in force here and which shards this node is ready for.
func (n *Node) Inventory(_ context.Context, m *peer.InventoryRequest) (*peer.InventoryResponse, error) {
	out := &peer.InventoryResponse{Node: n.self.Name, Complete: n.revision()}
	if !m.Shards {
		return out, nil
	}
	for shard, epoch := range n.ledger.Ready() {
		out.Ready = append(out.Ready, &peer.ShardReady{Shard: int32(shard), Epoch: epoch})
	}
	return out, nil
}

// The keeper's and coordinator's side of the protocol is the coordinator's.

// Claim is served by the coordinator.
func (n *Node) Claim(ctx context.Context, m *peer.ClaimRequest) (*peer.ClaimResponse, error) {
	return n.coord.Claim(ctx, m)
}

// Settle is served by the coordinator.
func (n *Node) Settle(ctx context.Context, m *peer.SettleRequest) (*peer.Empty, error) {
	return n.coord.Settle(ctx, m)
}

// Lookup is served by the coordinator.
func (n *Node) Lookup(ctx context.Context, m *peer.LookupRequest) (*peer.LookupResponse, error) {
	return n.coord.Lookup(ctx, m)
}

// Seal is served by the coordinator.
func (n *Node) Seal(ctx context.Context, m *peer.SealRequest) (*peer.SealResponse, error) {
	return n.coord.Seal(ctx, m)
}

// Inquire is served by the coordinator.
func (n *Node) Inquire(ctx context.Context, m *peer.InquireRequest) (*peer.InquireResponse, error) {
	return n.coord.Inquire(ctx, m)
}

// Read is served by the coordinator.
func (n *Node) Read(ctx context.Context, m *peer.ReadRequest) (*peer.ReadResponse, error) {
	return n.coord.Read(ctx, m)
}

var _ peer.Peer = (*Node)(nil)

func suspects(f *member.Fleet) []string {
	var out []string
	for _, o := range f.Nodes() {
		if f.RecentlyFailed(o.Name) {
			out = append(out, o.Name)
		}
	}
	return out
}
