package gateway

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/ports"
)

const (
	startTimeout       = 500 * time.Millisecond // of one attempt to record the start
	startRetryInterval = 250 * time.Millisecond
)

// startRecord is stored by each process of a node when it starts, without a lease, so that the
// next one knows of it.
type startRecord struct {
	StartedMS   int64 `json:"started_ms"`  // Unix ms, by the node's own clock
	Incarnation int64 `json:"incarnation"` // identifies the process
}

// startRecorder replaces the record of a node's earlier process by that of this one.
type startRecorder struct {
	store    duty.Store
	key      string
	own      startRecord
	previous *startRecord // as found before a write whose response may have been lost
}

// recordStart stores the start of this process. If that of the earlier one is long ago,
// customers' limits begin with a first filling. Until then, and if the store does not answer
// within a window, an earlier process may have had it.
func (n *Node) recordStart(ctx context.Context) {
	window := n.initial.Quota.Window
	recorder := &startRecorder{store: n.store, key: startPrefix + n.initial.Node,
		own: startRecord{StartedMS: time.Now().UnixMilli(), Incarnation: n.startedAt.UnixMicro()}}
	for clock.Since(n.startedAt) < window {
		if previous, ok := recorder.record(ctx); ok {
			apart := time.Duration(recorder.own.StartedMS-previous.StartedMS) * time.Millisecond
			filled := apart >= admit.StartsApart*window
			klog.InfoS("start_recorded", "before", previous.StartedMS, "filled", filled)
			if filled {
				n.quota.AllowFirstFilling()
			}
			return
		}
		if !sleep(ctx, startRetryInterval) {
			return
		}
	}
}

// record makes one attempt, and returns the record of the earlier process, zero if there was
// none.
func (r *startRecorder) record(ctx context.Context) (previous startRecord, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	current, _, _, err := r.store.Get(ctx, r.key)
	if err != nil {
		return startRecord{}, false
	}
	found := decodeStart(current)
	if found == r.own && r.previous != nil {
		return *r.previous, true
	}
	r.previous = &found
	raw, err := json.Marshal(r.own)
	if err != nil {
		panic("gateway: encode start record: " + err.Error())
	}
	result, err := r.store.PutIf(ctx, r.key, raw, current.Revision, 0)
	return found, err == nil && result.Succeeded
}

// decodeStart returns the record in an item, zero if there is none. One that is unusable
// counts as a start just now.
func decodeStart(it ports.Item) (out startRecord) {
	if it.Revision == 0 {
		return out
	}
	if err := json.Unmarshal(it.Value, &out); err != nil {
		klog.ErrorS(err, "start_entry_unusable", "key", it.Key, "revision", it.Revision)
		return startRecord{StartedMS: time.Now().UnixMilli()}
	}
	return out
}
