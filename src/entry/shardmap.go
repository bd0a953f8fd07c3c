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
	mapInterval       = 500 * time.Millisecond
	peerCallTimeout   = time.Second
	pairStartDelay    = 5 * time.Second // wait for a third node before the first map is created with two
	probeInterval     = 2 * time.Second
	maxProbesPerRound = 4
	firstMapNodes     = claim.KeepersPerShard
)

// mapLoop updates the shard map when the fleet changes. Writes use compare-and-swap,
// so any node may write; only the first live node by name does, to reduce calls.
func (n *Node) mapLoop(ctx context.Context) {
	lastProbe := time.Time{}
	process.Every(ctx, mapInterval, func() {
		if !n.isMapWriter() {
			return
		}
		if time.Since(lastProbe) > probeInterval {
			n.probeNodes(ctx)
			lastProbe = time.Now()
		}
		n.updateMap(ctx)
	})
}

// isMapWriter reports whether this node is the first live node by name.
func (n *Node) isMapWriter() bool {
	for _, node := range n.fleet.Nodes() {
		if node.Name == n.self.Name {
			return true
		}
		if !node.Leaving && !n.fleet.RecentlyFailed(node.Name) {
			return false
		}
	}
	return false
}

// probeNodes calls all suspected nodes, and other nodes round-robin up to
// maxProbesPerRound calls.
func (n *Node) probeNodes(ctx context.Context) {
	nodes := n.fleet.Nodes()
	var targets []member.Node
	for _, node := range nodes {
		if n.fleet.SuspectedByAny(node.Name) {
			targets = append(targets, node)
		}
	}
	for range nodes {
		if len(targets) >= maxProbesPerRound {
			break
		}
		n.probeOffset++
		targets = append(targets, nodes[n.probeOffset%len(nodes)])
	}
	n.inventories(ctx, targets, false)
}

// inventories fetches the ready shards and their epochs from nodes in parallel. If
// shards is false, the calls only test whether the nodes respond.
func (n *Node) inventories(ctx context.Context, nodes []member.Node, shards bool) map[string]map[int]int64 {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	readyShards := map[string]map[int]int64{n.self.Name: n.ledger.Ready()}
	for _, node := range nodes {
		if node.Name == n.self.Name {
			continue
		}
		wg.Go(func() {
			resp, err := n.pool.Client(node.Peers).Inventory(ctx, &peer.InventoryRequest{Shards: shards})
			n.recordCall(node.Peers, err)
			if err != nil {
				return
			}
			ready := map[int]int64{}
			for _, shard := range resp.Ready {
				ready[int(shard.Shard)] = shard.Epoch
			}
			mu.Lock()
			readyShards[node.Name] = ready
			mu.Unlock()
		})
	}
	wg.Wait()
	return readyShards
}

func (n *Node) updateMap(ctx context.Context) {
	nodes := n.fleet.Nodes()
	it, ok := n.view.Get(claim.MapKey)
	fleet := n.claimFleet(nodes)
	var next claim.Map
	if !ok {
		if !n.mayCreateMap(fleet) {
			return
		}
		next = claim.NewMap(n.settings.Claims.Shards, fleet)
	} else {
		m, err := claim.DecodeMap(it.Value)
		if err != nil {
			return
		}
		if hasPassiveShard(m) {
			ready := n.inventories(ctx, passiveKeepers(m, nodes), true)
			fleet.Ready = func(k claim.Node, shard int) int64 { return ready[k.Name][shard] }
		}
		changed := false
		if next, changed = m.Next(fleet); !changed {
			return
		}
	}
	result, err := n.kv.PutIf(ctx, claim.MapKey, next.Encode(), it.Revision, 0)
	klog.InfoS("shard_map", "won", result.Succeeded, "revision", result.Revision, "err", err)
	if err == nil {
		n.waitRevision(ctx, result.Revision)
	}
}

// waitRevision waits up to peerCallTimeout until the view includes revision rev, so
// that the next round does not start from an outdated map.
func (n *Node) waitRevision(ctx context.Context, rev int64) {
	timeout := time.After(peerCallTimeout)
	for n.revision() < rev {
		changed := n.view.Changed()
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// passiveKeepers returns the nodes that keep a shard that is not active yet.
func passiveKeepers(m claim.Map, nodes []member.Node) []member.Node {
	keepers := map[string]bool{}
	for _, s := range m.Shards {
		for _, k := range s.Keepers {
			keepers[k.Name] = keepers[k.Name] || !s.Active
		}
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(node member.Node) bool { return !keepers[node.Name] })
}

func hasPassiveShard(m claim.Map) bool {
	for _, s := range m.Shards {
		if !s.Active {
			return true
		}
	}
	return false
}

// mayCreateMap reports whether the first map may be written: the view is loaded
// and there are enough live nodes.
func (n *Node) mayCreateMap(fleet claim.Fleet) bool {
	rev, _ := n.view.Complete()
	if rev == 0 {
		return false
	}
	delayElapsed := time.Since(n.startedAt) > pairStartDelay
	return len(fleet.Live) >= firstMapNodes || delayElapsed && len(fleet.Live) >= claim.Majority || n.settings.Claims.SingleNode && len(fleet.Live) >= 1
}

func (n *Node) claimFleet(nodes []member.Node) claim.Fleet {
	fleet := claim.Fleet{Live: map[string]claim.Node{}, NowMS: time.Now().UnixMilli(), Ready: func(claim.Node, int) int64 { return 0 }}
	for _, node := range nodes {
		if node.Leaving || n.fleet.FailingFor(node.Name) > n.settings.Claims.Suspect {
			continue
		}
		fleet.Live[node.Name] = claim.Node{Name: node.Name, Incarnation: node.Incarnation, Addr: node.Peers, FailureDomain: node.FailureDomain, VM: node.VM}
	}
	fleet.Gone = func(k claim.Node) bool { return n.fleet.Gone(k.Name, k.Incarnation, k.VM) }
	return fleet
}
