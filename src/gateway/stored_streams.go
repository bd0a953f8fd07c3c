package gateway

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/origin"
	"github.com/crankridge/crankridge/src/ports"
)

// While a service has servers of several versions, each node keeps in the store where its streams
// began, for the nodes that start after all have ended at once.
const (
	streamsPrefix    = ownPrefix + "streams/" // followed by node and start of its process; the values are those of origin.EncodeStreams
	streamsInterval  = 150 * time.Millisecond // least time between two writes of a node
	streamsSpacing   = 10 * time.Millisecond  // the same, for each node: they share the store's rate of writes
	streamsTimeout   = 500 * time.Millisecond // of one write
	streamsTTL       = time.Minute            // of the lease that the streams are stored under
	versionsKept     = time.Minute            // after the last server of a version has gone
	maxStoredStreams = 4096                   // of one node
)

// streamWriter is the state of this node's stored streams.
type streamWriter struct {
	key       string
	revision  int64 // of the key, as far as known
	through   int64 // of what is stored (origin.Memory.Own)
	lease     int64
	grantedAt time.Time // the lease
	nextAt    time.Time // when the next write may begin
}

// storeStreams stores where the streams of this node began, if that has changed.
func (n *Node) storeStreams(ctx context.Context) {
	w := &n.streamWriter
	now := clock.Now()
	if now.Before(w.nextAt) || !n.hasSeveralVersions() {
		return
	}
	entries, through := n.streams.Own(maxStoredStreams)
	if through == w.through {
		return
	}
	w.nextAt = now.Add(max(streamsInterval, time.Duration(n.roster.Count())*streamsSpacing))
	ctx, cancel := context.WithTimeout(ctx, streamsTimeout)
	defer cancel()
	if err := n.writeStreams(ctx, w, origin.EncodeStreams(entries, n.clusterTime())); err != nil {
		klog.InfoS("streams_not_stored", "streams", len(entries), "err", err)
		return
	}
	w.through = through
}

// writeStreams writes one value under the writer's lease, which it renews by taking another.
func (n *Node) writeStreams(ctx context.Context, w *streamWriter, value []byte) error {
	if w.lease == 0 || clock.Since(w.grantedAt) > streamsTTL/2 {
		lease, err := n.store.Grant(ctx, streamsTTL)
		if err != nil {
			return err
		}
		w.lease, w.grantedAt = lease, clock.Now()
	}
	result, err := n.store.PutIf(ctx, w.key, value, w.revision, w.lease)
	switch {
	case errors.Is(err, ports.ErrLeaseGone):
		w.lease = 0
		return err
	case err != nil:
		return err
	case !result.Succeeded: // an earlier write, whose response was lost, has taken effect
		w.revision = result.Current.Revision
		return errStreamsOutdated
	}
	w.revision = result.Revision
	return nil
}

var errStreamsOutdated = errors.New("the stored streams have another revision")

// hasSeveralVersions reports whether streams of any service may have begun at several versions.
func (n *Node) hasSeveralVersions() bool {
	table := n.table.Load()
	if table == nil {
		return false
	}
	for _, service := range resumableServices(table) {
		if h, _, ok := n.versionHistory(service); ok && h.Several(n.clusterTime(), versionsKept) {
			return true
		}
	}
	return false
}

// restoreStreams takes over the streams that earlier processes have stored. Later the nodes tell
// each other.
func (n *Node) restoreStreams() {
	if clock.Since(n.startedAt) > streamsTTL {
		return
	}
	for _, it := range n.view.List(streamsPrefix) {
		if n.restored[it.Key] >= it.Revision {
			continue
		}
		n.restored[it.Key] = it.Revision
		entries, err := origin.DecodeStreams(it.Value, n.clusterTime())
		if err != nil {
			klog.ErrorS(err, "stored_streams_unusable", "key", it.Key, "revision", it.Revision)
			continue
		}
		n.streams.Restore(entries)
		klog.V(1).InfoS("streams_restored", "key", it.Key, "streams", len(entries))
	}
}
