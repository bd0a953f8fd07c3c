package ports

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/crankridge/crankridge/src/conn"
)

// Errors of the key-value port. A write that ends in ErrUnavailable may have
// taken effect; the caller must read back before it writes again.
var (
	ErrUnavailable = errors.New("key-value service unavailable")
	ErrCompacted   = errors.New("watch start is older than the service's history")
	ErrLeaseGone   = errors.New("lease is gone")
)

const maxAnswerBytes = 64 << 20

// Item is one key at one revision; Deleted marks a removal seen by a watch.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Swap is the outcome of a compare-and-swap. When it was lost, Current holds
// the stored item (Revision 0 when there is none).
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

// Dial opens a connection; nil stands for the standard dialer.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewKV returns a client of the service at base (a URL). Each call but a
// watch ends within timeout.
func NewKV(base string, timeout time.Duration, dial DialFunc) *KV {
	tr := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, DialContext: dial}
	return &KV{base: base, client: &http.Client{Transport: &conn.StallDetectingTransport{Transport: tr}}, timeout: timeout}
}

// Get reads one key; ok is false when it is not stored. rev is the service's revision.
func (k *KV) Get(ctx context.Context, key string) (it Item, ok bool, rev int64, err error) {
	var res WireRangeResult
	if err := k.call(ctx, "/v3/kv/range", WireRange{Key: []byte(key)}, &res); err != nil {
		return Item{}, false, 0, err
	}
	if len(res.KVs) == 0 {
		return Item{Key: key}, false, res.Header.Revision, nil
	}
	return itemOf(res.KVs[0]), true, res.Header.Revision, nil
}

// List reads all keys below prefix in one call, as of the returned revision.
func (k *KV) List(ctx context.Context, prefix string) ([]Item, int64, error) {
	var res WireRangeResult
	req := WireRange{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := k.call(ctx, "/v3/kv/range", req, &res); err != nil {
		return nil, 0, err
	}
	items := make([]Item, 0, len(res.KVs))
	for _, kv := range res.KVs {
		items = append(items, itemOf(kv))
	}
	return items, res.Header.Revision, nil
}

// PutIf stores value when the key is still at revision rev (0: not stored),
// bound to lease unless that is 0.
func (k *KV) PutIf(ctx context.Context, key string, value []byte, rev, lease int64) (SwapResult, error) {
	op := WireOp{Put: &WirePut{Key: []byte(key), Value: value, Lease: lease}}
	return k.swap(ctx, key, rev, op)
}

// DeleteIf removes the key when it is still at revision rev.
func (k *KV) DeleteIf(ctx context.Context, key string, rev int64) (SwapResult, error) {
	return k.swap(ctx, key, rev, WireOp{Delete: &WireDelete{Key: []byte(key)}})
}

func (k *KV) swap(ctx context.Context, key string, rev int64, op WireOp) (SwapResult, error) {
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
			out.Current = itemOf(kvs[0])
		}
	}
	return out, nil
}

// Grant makes a lease that lapses ttl after its last renewal.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var res WireLease
	err := k.call(ctx, "/v3/lease/grant", WireLease{TTL: int64(ttl / time.Second)}, &res)
	return res.ID, err
}

// KeepAlive renews a lease; ErrLeaseGone says that it has lapsed.
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

// Revoke ends a lease and removes the keys bound to it.
func (k *KV) Revoke(ctx context.Context, id int64) error {
	return k.call(ctx, "/v3/lease/revoke", WireLease{ID: id}, &struct{}{})
}

// Batch is one message of a watch: changes, and the revision up to which the
// watch has shown everything.
type Batch struct {
	Items    []Item
	Revision int64
}

// watchQuiet is how long a watch may bring no message before it is begun
// anew: nothing else tells that its connection has fallen silent.
const watchQuiet = 5 * time.Second

// errQuiet counts as a call that ran out of time.
var errQuiet = fmt.Errorf("watch brought nothing for %s: %w", watchQuiet, context.DeadlineExceeded)

// Watch calls each for every batch of changes below prefix from revision from
// on, until ctx ends or the stream breaks. It returns ErrCompacted when the
// history no longer reaches back to from.
func (k *KV) Watch(ctx context.Context, prefix string, from int64, each func(Batch)) error {
	for {
		err := k.watch(ctx, prefix, from, func(b Batch) {
			from = max(from, b.Revision+1)
			each(b)
		})
		if !errors.Is(err, errQuiet) {
			return err
		}
	}
}

// watch follows one stream until it ends or is quiet.
func (k *KV) watch(ctx context.Context, prefix string, from int64, each func(Batch)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	quiet := time.AfterFunc(watchQuiet, func() { cancel(errQuiet) })
	defer quiet.Stop()
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
		quiet.Reset(watchQuiet)
		if msg.Result.Canceled {
			return ErrCompacted
		}
		if msg.Result.Created && len(msg.Result.Events) == 0 {
			continue // its revision is the service's, not one up to which all was shown
		}
		each(batchOf(msg))
	}
}

func batchOf(msg WireWatchResult) Batch {
	b := Batch{Revision: msg.Result.Header.Revision}
	for _, ev := range msg.Result.Events {
		it := itemOf(ev.KV)
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return oops.Wrapf(errors.Join(ErrUnavailable, err), "read answer of %s", path)
	}
	if err := json.Unmarshal(body, res); err != nil {
		return oops.Wrapf(errors.Join(ErrUnavailable, err), "decode answer of %s", path)
	}
	return nil
}

func (k *KV) post(ctx context.Context, path string, req any) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, oops.Wrapf(err, "encode %s", path)
	}
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, k.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, oops.Wrapf(err, "request %s", path)
	}
	// A transport that replays a write by itself would hide a lost answer.
	hr.GetBody = nil
	resp, err := k.client.Do(hr)
	if err != nil {
		return nil, oops.Wrapf(errors.Join(ErrUnavailable, err), "call %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, oops.Wrapf(ErrUnavailable, "%s answered %d", path, resp.StatusCode)
	}
	return resp, nil
}

func itemOf(kv WireKV) Item {
	return Item{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// prefixEnd is the first key after all keys with the prefix.
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

// ErrSoldOut says that no machine of the wanted kind can be had at present.
var ErrNoCapacity = errors.New("none to be had at present")
