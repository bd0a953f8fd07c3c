package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/process"
)

const (
	mapEvery   = 500 * time.Millisecond
	mapCall    = time.Second
	startAlone = 5 * time.Second // how long a fleet of two waits for a third before the first map
	probeEvery = 2 * time.Second
	// probedAtOnce is how many nodes are called in a round of probes.
	probedAtOnce = 4
	startEnough  = claim.KeepersPerShard
)

// mapLoop keeps the shard map fitting the fleet. Any node may write it, by
// compare-and-swap; the first live node by name does, to save calls.
func (n *Node) mapLoop(ctx context.Context) {
	probed := time.Time{}
	process.Every(ctx, mapEvery, func() {
		if !n.writesMap() {
			return
		}
		if time.Since(probed) > probeEvery {
			n.probe(ctx)
			probed = time.Now()
		}
		n.mapRound(ctx)
	})
}

// writesMap tells whether this node is the first live one by name.
func (n *Node) writesMap() bool {
	for _, o := range n.fleet.Nodes() {
		if o.Name == n.self.Name {
			return true
		}
		if !o.Leaving && !n.fleet.RecentlyFailed(o.Name) {
			return false
		}
	}
	return false
}

// probe calls the nodes that somebody suspects, then others in turn, up to a
// bound that does not grow with the fleet.
func (n *Node) probe(ctx context.Context) {
	nodes := n.fleet.Nodes()
	var due []member.Node
	for _, o := range nodes {
		if n.fleet.SuspectedByAny(o.Name) {
			due = append(due, o)
		}
	}
	for range nodes {
		if len(due) >= probedAtOnce {
			break
		}
		n.probed++
		due = append(due, nodes[n.probed%len(nodes)])
	}
	n.ask(ctx, due, false)
}

// ask reads the inventories of nodes, all at once.
func (n *Node) ask(ctx context.Context, nodes []member.Node, shards bool) map[string]map[int]int64 {
	ctx, cancel := context.WithTimeout(ctx, mapCall)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := map[string]map[int]int64{n.self.Name: n.ledger.Ready()}
	for _, o := range nodes {
		if o.Name == n.self.Name {
			continue
		}
		wg.Go(func() {
			resp, err := n.pool.Client(o.Peers).Inventory(ctx, &peer.InventoryRequest{Shards: shards})
			n.called(o.Peers, err)
			if err != nil {
				return
			}
			ready := map[int]int64{}
			for _, r := range resp.Ready {
				ready[int(r.Shard)] = r.Epoch
			}
			mu.Lock()
			out[o.Name] = ready
			mu.Unlock()
		})
	}
	wg.Wait()
	return out
}

func (n *Node) mapRound(ctx context.Context) {
	nodes := n.fleet.Nodes()
	it, ok := n.view.Get(claim.MapKey)
	fleet := n.claimFleet(nodes)
	var next claim.Map
	if !ok {
		if !n.mayStart(fleet) {
			return
		}
		next = claim.NewMap(n.set.Claims.Shards, fleet)
	} else {
		m, err := claim.DecodeMap(it.Value)
		if err != nil {
			return
		}
		if hasPassive(m) {
			ready := n.ask(ctx, passiveKeepers(m, nodes), true)
			fleet.Ready = func(k claim.Node, shard int) int64 { return ready[k.Name][shard] }
		}
		changed := false
		if next, changed = m.Next(fleet); !changed {
			return
		}
	}
	swap, err := n.kv.PutIf(ctx, claim.MapKey, next.Encode(), it.Revision, 0)
	klog.InfoS("shard_map", "won", swap.Succeeded, "revision", swap.Revision, "err", err)
	if err == nil {
		n.waitRevision(ctx, swap.Revision)
	}
}

// waitRevision waits until the view holds what was just written, so that the
// next round does not start from the map before.
func (n *Node) waitRevision(ctx context.Context, rev int64) {
	limit := time.After(mapCall)
	for n.revision() < rev {
		changed := n.view.Changed()
		select {
		case <-ctx.Done():
			return
		case <-limit:
			return
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// passiveKeepers are the nodes that keep a shard which is not active yet.
func passiveKeepers(m claim.Map, nodes []member.Node) []member.Node {
	wanted := map[string]bool{}
	for _, s := range m.Shards {
		for _, k := range s.Keepers {
			wanted[k.Name] = wanted[k.Name] || !s.Active
		}
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(o member.Node) bool { return !wanted[o.Name] })
}

func hasPassive(m claim.Map) bool {
	for _, s := range m.Shards {
		if !s.Active {
			return true
		}
	}
	return false
}

// mayStart tells whether the first map may be written: the key-value service
// has none, and there are nodes enough for it.
func (n *Node) mayStart(f claim.Fleet) bool {
	rev, _ := n.view.Complete()
	if rev == 0 {
		return false
	}
	alone := time.Since(n.started) > startAlone
	return len(f.Live) >= startEnough || alone && len(f.Live) >= claim.Majority || n.set.Claims.SingleNode && len(f.Live) >= 1
}

func (n *Node) claimFleet(nodes []member.Node) claim.Fleet {
	f := claim.Fleet{Live: map[string]claim.Node{}, NowMS: time.Now().UnixMilli(), Ready: func(claim.Node, int) int64 { return 0 }}
	for _, o := range nodes {
		if o.Leaving || n.fleet.FailingFor(o.Name) > n.set.Claims.Suspect {
			continue
		}
		f.Live[o.Name] = claim.Node{Name: o.Name, Incarnation: o.Incarnation, Addr: o.Peers, FailureDomain: o.FailureDomain, VM: o.VM}
	}
	f.Gone = func(k claim.Node) bool { return n.fleet.Gone(k.Name, k.Incarnation, k.VM) }
	return f
}
