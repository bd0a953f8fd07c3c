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

// Timing of the node's entry in the store.
const (
	entryTTL      = 10 * time.Second // the entry expires this long after its last renewal
	renewInterval = 3 * time.Second
	retryInterval = time.Second
	revokeTimeout = 300 * time.Millisecond
)

// nodeEntry is stored by each node so that other nodes can find it.
type nodeEntry struct {
	Peers         string `json:"peers"` // address for other nodes
	FailureDomain string `json:"failure_domain"`
	Lease         int64  `json:"lease"` // lease that the entry is bound to; identifies its writer
}

// registration keeps a node's entry in the store under a lease.
type registration struct {
	store   duty.Store
	key     string
	entry   nodeEntry
	written bool // the entry is known to be stored under entry.Lease
}

// reconcile grants or renews the lease, writes the entry if needed, and returns
// the delay until the next call. It does not return errors; the next call tries again.
func (r *registration) reconcile(ctx context.Context) time.Duration {
	var err error
	switch {
	case r.entry.Lease == 0:
		r.entry.Lease, err = r.store.Grant(ctx, entryTTL)
		if err == nil {
			err = r.write(ctx)
		}
	case !r.written:
		err = r.write(ctx)
	default:
		err = r.store.KeepAlive(ctx, r.entry.Lease)
	}
	if errors.Is(err, ports.ErrLeaseGone) {
		klog.InfoS("entry_lapsed", "key", r.key, "lease", r.entry.Lease)
		r.entry.Lease, r.written = 0, false
		return 0
	}
	if !r.written {
		return retryInterval
	}
	return renewInterval
}

// write stores the entry, replacing that of an earlier run of the node. If the
// response is lost, the next call finds out whether the entry was written.
func (r *registration) write(ctx context.Context) error {
	raw, err := json.Marshal(r.entry)
	if err != nil {
		return err
	}
	current, _, _, err := r.store.Get(ctx, r.key)
	if err != nil {
		return err
	}
	if string(current.Value) == string(raw) {
		r.written = true
		return nil
	}
	result, err := r.store.PutIf(ctx, r.key, raw, current.Revision, r.entry.Lease)
	r.written = err == nil && result.Succeeded
	return err
}

// registerLoop keeps this node's entry in the store until ctx is canceled.
func (n *Node) registerLoop(ctx context.Context) {
	for {
		if wait := n.registration.reconcile(ctx); !sleep(ctx, wait) {
			return
		}
	}
}

// unregister removes the entry, so that other nodes can take over this node's
// share of the limits without waiting for the lease to expire.
func (n *Node) unregister() {
	if n.registration.entry.Lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := n.store.Revoke(ctx, n.registration.entry.Lease); err != nil {
		klog.InfoS("entry_left_to_lapse", "err", err)
	}
}

// applyEntries updates the roster from the node entries in the store.
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
