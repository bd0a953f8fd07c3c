package ports

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/crankridge/crankridge/src/conn"
)

// Errors of the key-value service and, for ErrUnavailable, of the cloud API. A write
// that fails with ErrUnavailable may have taken effect; the caller must read the
// state before it writes again.
var (
	ErrUnavailable = errors.New("platform service unavailable")
	ErrCompacted   = errors.New("watch revision has been compacted")
	ErrLeaseGone   = errors.New("lease not found or expired")
)

const maxResponseBytes = 32 << 20

// Item is a key at a revision; Deleted marks a removal reported by a watch.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// SwapResult is the result of a compare-and-swap. If it did not succeed, Current
// holds the stored item (Revision 0 if there is none).
type SwapResult struct {
	Succeeded bool
	Revision  int64
	Current   Item
}

// KV is a client of the key-value service.
type KV struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// NewKV returns a client of the service at the URL base. The timeout applies to
// every call except watches. A nil dial selects the default dialer.
func NewKV(base string, timeout time.Duration, dial conn.DialFunc) *KV {
	transport := conn.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DialContext: dial})
	return &KV{base: base, client: &http.Client{Transport: &conn.StallDetectingTransport{Transport: transport}}, timeout: timeout}
}

// Get reads a key; ok is false if it is not stored. rev is the revision of the store.
func (k *KV) Get(ctx context.Context, key string) (it Item, ok bool, rev int64, err error) {
	var res WireRangeResult
	if err := k.call(ctx, "/v3/kv/range", WireRange{Key: []byte(key)}, &res); err != nil {
		return Item{}, false, 0, err
	}
	if len(res.KVs) == 0 {
		return Item{Key: key}, false, res.Header.Revision, nil
	}
	return newItem(res.KVs[0]), true, res.Header.Revision, nil
}

// List reads all keys with the given prefix in one call, as of the returned
// revision.
func (k *KV) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	var res WireRangeResult
	req := WireRange{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := k.call(ctx, "/v3/kv/range", req, &res); err != nil {
		return nil, 0, err
	}
	items := make([]Item, 0, len(res.KVs))
	for _, kv := range res.KVs {
		items = append(items, newItem(kv))
	}
	return items, res.Header.Revision, nil
}

// PutIf stores value if the key is still at revision rev (0: not stored),
// attached to lease unless it is 0.
func (k *KV) PutIf(ctx context.Context, key string, value []byte, rev, lease int64) (SwapResult, error) {
	op := WireOp{Put: &WirePut{Key: []byte(key), Value: value, Lease: lease}}
	return k.compareAndSwap(ctx, key, rev, op)
}

// DeleteIf deletes the key if it is still at revision rev.
func (k *KV) DeleteIf(ctx context.Context, key string, rev int64) (SwapResult, error) {
	return k.compareAndSwap(ctx, key, rev, WireOp{Delete: &WireDelete{Key: []byte(key)}})
}

func (k *KV) compareAndSwap(ctx context.Context, key string, rev int64, op WireOp) (SwapResult, error) {
	txn := WireTxn{
		Compare: []WireCompare{{Key: []byte(key), Result: CompareEqual, Target: CompareMod, ModRevision: rev}},
		Success: []WireOp{op},
		Failure: []WireOp{{Range: &WireRange{Key: []byte(key)}}},
	}
	var res WireTxnResult
	if err := k.call(ctx, "/v3/kv/txn", txn, &res); err != nil {
		return SwapResult{}, err
	}
	out := SwapResult{Succeeded: res.Succeeded, Revision: res.Header.Revision, Current: Item{Key: key}}
	if !res.Succeeded && len(res.Responses) > 0 && res.Responses[0].Range != nil {
		if kvs := res.Responses[0].Range.KVs; len(kvs) > 0 {
			out.Current = newItem(kvs[0])
		}
	}
	return out, nil
}

// Grant creates a lease that expires ttl after its last renewal.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var res WireLease
	err := k.call(ctx, "/v3/lease/grant", WireLease{TTL: int64(ttl / time.Second)}, &res)
	return res.ID, err
}

// KeepAlive renews a lease. It returns ErrLeaseGone if the lease has expired.
func (k *KV) KeepAlive(ctx context.Context, id int64) error {
	var res WireKeepAlive
	if err := k.call(ctx, "/v3/lease/keepalive", WireLease{ID: id}, &res); err != nil {
		return err
	}
	if res.Result.TTL <= 0 {
		return ErrLeaseGone
	}
	return nil
}

// Revoke ends a lease and deletes the keys attached to it.
func (k *KV) Revoke(ctx context.Context, id int64) error {
	return k.call(ctx, "/v3/lease/revoke", WireLease{ID: id}, &struct{}{})
}

// Batch is a message of a watch: changes, and the revision up to which all
// changes have been reported.
type Batch struct {
	Items    []Item
	Revision int64
}

// watchIdleTimeout is the time without a message after which a watch is restarted.
// The transport does not detect connections that stall after the response header.
const watchIdleTimeout = 5 * time.Second

// errWatchIdle wraps context.DeadlineExceeded, so that it is handled as a timeout.
var errWatchIdle = fmt.Errorf("no watch message received for %s: %w", watchIdleTimeout, context.DeadlineExceeded)

// Watch calls handle for each batch of changes to keys with the given prefix,
// starting at revision from, until ctx ends or the stream fails. It returns
// ErrCompacted if that revision has been compacted.
func (k *KV) Watch(ctx context.Context, prefix string, from int64, handle func(Batch)) error {
	for {
		err := k.watch(ctx, prefix, from, func(b Batch) {
			from = max(from, b.Revision+1)
			handle(b)
		})
		if !errors.Is(err, errWatchIdle) {
			return err
		}
	}
}

// watch reads one stream until it fails or exceeds watchIdleTimeout.
func (k *KV) watch(ctx context.Context, prefix string, from int64, handle func(Batch)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(watchIdleTimeout, func() { cancel(errWatchIdle) })
	defer idle.Stop()
	var req WireWatchCreate
	req.Create.Key = []byte(prefix)
	req.Create.RangeEnd = prefixEnd(prefix)
	req.Create.StartRevision = from
	req.Create.Progress = true
	resp, err := k.post(ctx, "/v3/watch", req)
	if err != nil {
		return errors.Join(err, context.Cause(ctx))
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(resp.Body)
	for {
		var msg WireWatchResult
		if err := dec.Decode(&msg); err != nil {
			return oops.Wrapf(errors.Join(ErrUnavailable, err, context.Cause(ctx)), "watch")
		}
		idle.Reset(watchIdleTimeout)
		if msg.Result.Canceled {
			return ErrCompacted
		}
		if msg.Result.Created && len(msg.Result.Events) == 0 {
			continue // its revision does not imply that all changes up to it were reported
		}
		handle(newBatch(msg))
	}
}

func newBatch(msg WireWatchResult) Batch {
	b := Batch{Revision: msg.Result.Header.Revision}
	for _, ev := range msg.Result.Events {
		it := newItem(ev.KV)
		it.Deleted = ev.Type == EventDelete
		b.Items = append(b.Items, it)
	}
	return b
}

func (k *KV) call(ctx context.Context, path string, req, res any) error {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	resp, err := k.post(ctx, path, req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return oops.Wrapf(errors.Join(ErrUnavailable, err), "read response of %s", path)
	}
	if err := json.Unmarshal(body, res); err != nil {
		return oops.Wrapf(errors.Join(ErrUnavailable, err), "decode response of %s", path)
	}
	return nil
}

func (k *KV) post(ctx context.Context, path string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, oops.Wrapf(err, "encode %s", path)
	}
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, k.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, oops.Wrapf(err, "create request %s", path)
	}
	// Keeps the transport from resending a write whose response was lost.
	httpReq.GetBody = nil
	resp, err := k.client.Do(httpReq)
	if err != nil {
		return nil, oops.Wrapf(errors.Join(ErrUnavailable, err), "call %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, oops.Wrapf(ErrUnavailable, "%s: unexpected status %d", path, resp.StatusCode)
	}
	return resp, nil
}

func newItem(kv WireKV) Item {
	return Item{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// ErrNoCapacity is returned by package platform if the platform has no VM of the
// requested kind available. Cloud returns ErrRefused for the same condition.
var ErrNoCapacity = errors.New("no capacity available")
