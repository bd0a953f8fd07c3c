package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/ports"
)

// Times of a node's entry in the store.
const (
	entryLease  = 10 * time.Second // after its last renewal an entry goes
	entryRenew  = 3 * time.Second
	entryRetry  = time.Second
	revokeLimit = 300 * time.Millisecond // of the call that removes the entry at the end
)

// nodeEntry is what a node stores of itself, for others to find it.
type nodeEntry struct {
	Peers         string `json:"peers"`
	FailureDomain string `json:"failure_domain"`
	Lease         int64  `json:"lease"` // under which it is stored; marks the writer's own entry
}

// registration keeps a node's entry in the store under a lease.
type registration struct {
	store duty.Store
	key   string
	entry nodeEntry
	held  bool // the entry is known to stand under entry.Lease
}

// step takes the registration forward and returns when to look again.
func (r *registration) step(ctx context.Context) time.Duration {
	var err error
	switch {
	case r.entry.Lease == 0:
		r.entry.Lease, err = r.store.Grant(ctx, entryLease)
		if err == nil {
			err = r.write(ctx)
		}
	case !r.held:
		err = r.write(ctx)
	default:
		err = r.store.KeepAlive(ctx, r.entry.Lease)
	}
	if errors.Is(err, ports.ErrLeaseGone) {
		klog.InfoS("entry_lapsed", "key", r.key, "lease", r.entry.Lease)
		r.entry.Lease, r.held = 0, false
		return 0
	}
	if !r.held {
		return entryRetry
	}
	return entryRenew
}

// write stores the entry, whatever stands there: an earlier life of the node
// wrote it. After a lost answer the next look tells whether it was written.
func (r *registration) write(ctx context.Context) error {
	raw, err := json.Marshal(r.entry)
	if err != nil {
		return err
	}
	have, _, _, err := r.store.Get(ctx, r.key)
	if err != nil {
		return err
	}
	if string(have.Value) == string(raw) {
		r.held = true
		return nil
	}
	swap, err := r.store.PutIf(ctx, r.key, raw, have.Revision, r.entry.Lease)
	r.held = err == nil && swap.Succeeded
	return err
}

// registerLoop keeps this node's entry in the store until ctx ends.
func (n *Node) registerLoop(ctx context.Context) {
	for {
		if wait := n.entry.step(ctx); !pause(ctx, wait) {
			return
		}
	}
}

// unregister removes the entry, so that the others learn at once that this
// node uses its share of limits no more.
func (n *Node) unregister() {
	if n.entry.entry.Lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeLimit)
	defer cancel()
	if err := n.store.Revoke(ctx, n.entry.entry.Lease); err != nil {
		klog.InfoS("entry_left_to_lapse", "err", err)
	}
}

// applyEntries takes in the nodes that are stored.
func (n *Node) applyEntries() {
	var out []cluster.Entry
	for _, it := range n.view.List(nodePrefix) {
		var e nodeEntry
		if err := json.Unmarshal(it.Value, &e); err != nil {
			klog.ErrorS(err, "node_entry_unusable", "key", it.Key, "revision", it.Revision)
			continue
		}
		out = append(out, cluster.Entry{Node: strings.TrimPrefix(it.Key, nodePrefix), FailureDomain: e.FailureDomain, Peers: e.Peers})
	}
	n.roster.SetStored(out)
}
