// Package standin implements fakes of the external services that crankridge uses,
// for tests and the demo. All except the weight store can be made to fail through
// /admin/faults.
package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/crankridge/crankridge/src/ports"
)

const (
	maxHistory            = 20000 // events
	leaseSweepInterval    = 200 * time.Millisecond
	watchProgressInterval = 2 * time.Second
	maxRequestBytes       = 64 << 20
)

// KVFaults are the faults that the key-value service simulates.
type KVFaults struct {
	Down          bool `json:"down"`
	DelayMS       int  `json:"delay_ms"`     // delay before each request is handled, ms
	DropResponses int  `json:"lose_answers"` // number of writes to perform without a response
	StaleReads    bool `json:"stale_reads"`  // range requests return the data as of when this was set
}

// KV is an in-memory key-value service with the JSON API of etcd.
type KV struct {
	mu        sync.Mutex
	revision  int64
	data      map[string]ports.WireKV
	history   []ports.WireEvent
	compacted int64 // highest revision dropped from history
	leases    map[int64]*kvLease
	lastLease int64
	changed   chan struct{}
	down      chan struct{} // closed while the service is down
	faults    KVFaults
	stale     *ports.WireRangeResult // all data as of the start of the stale-reads fault
	calls     map[string]int64
}

type kvLease struct {
	ttl     time.Duration
	expires time.Time
}

// NewKV returns an empty service. Its lease expiry loop runs until the process exits.
func NewKV() *KV {
	k := &KV{
		data: map[string]ports.WireKV{}, leases: map[int64]*kvLease{},
		changed: make(chan struct{}), down: make(chan struct{}), calls: map[string]int64{},
	}
	go k.expireLeases()
	return k
}

// Handler serves the key-value API and the admin API.
func (k *KV) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/admin/faults", k.serveFaults).Methods(http.MethodPost)
	r.HandleFunc("/admin/calls", k.serveCalls).Methods(http.MethodGet)
	r.HandleFunc("/v3/kv/range", k.withFaults("range", k.serveRange))
	r.HandleFunc("/v3/kv/txn", k.withFaults("txn", k.serveTxn))
	r.HandleFunc("/v3/lease/grant", k.withFaults("grant", k.serveGrant))
	r.HandleFunc("/v3/lease/keepalive", k.withFaults("keepalive", k.serveKeepAlive))
	r.HandleFunc("/v3/lease/revoke", k.withFaults("revoke", k.serveRevoke))
	r.HandleFunc("/v3/watch", k.withFaults("watch", k.serveWatch))
	return r
}

func (k *KV) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f KVFaults
	if !readJSON(w, r, &f) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if f.Down && !k.faults.Down {
		close(k.down)
	}
	if !f.Down && k.faults.Down {
		k.down = make(chan struct{})
	}
	k.stale = nil
	if f.StaleReads {
		all := k.readRange([]byte(firstKey), []byte{0xff})
		k.stale = &all
	}
	k.faults = f
}

const firstKey = "\x01"

func (k *KV) serveCalls(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	writeJSON(w, http.StatusOK, k.calls)
}

// withFaults wraps a handler to count its calls and to apply the delay and outage faults.
func (k *KV) withFaults(kind string, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		k.mu.Lock()
		k.calls[kind]++
		f := k.faults
		k.mu.Unlock()
		if f.DelayMS > 0 {
			time.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		serve(w, r)
	}
}

func (k *KV) serveRange(w http.ResponseWriter, r *http.Request) {
	var req ports.WireRange
	if !readJSON(w, r, &req) {
		return
	}
	k.mu.Lock()
	res := k.readRange(req.Key, req.RangeEnd)
	if k.stale != nil {
		res = filterRange(*k.stale, req)
	}
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, res)
}

func filterRange(all ports.WireRangeResult, req ports.WireRange) ports.WireRangeResult {
	out := ports.WireRangeResult{Header: all.Header}
	for _, kv := range all.KVs {
		if inRange(kv.Key, req.Key, req.RangeEnd) {
			out.KVs = append(out.KVs, kv)
		}
	}
	return out
}

func inRange(key, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(key, from)
	}
	return bytes.Compare(key, from) >= 0 && bytes.Compare(key, end) < 0
}

func (k *KV) readRange(from, end []byte) ports.WireRangeResult {
	res := ports.WireRangeResult{Header: ports.WireHeader{Revision: k.revision}}
	for _, kv := range k.data {
		if inRange(kv.Key, from, end) {
			res.KVs = append(res.KVs, kv)
		}
	}
	slices.SortFunc(res.KVs, func(a, b ports.WireKV) int { return bytes.Compare(a.Key, b.Key) })
	return res
}

func (k *KV) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req ports.WireTxn
	if !readJSON(w, r, &req) {
		return
	}
	k.mu.Lock()
	res, ok := k.txn(req)
	dropResponse := ok && res.Succeeded && k.faults.DropResponses > 0
	if dropResponse {
		k.faults.DropResponses--
	}
	k.mu.Unlock()
	switch {
	case dropResponse:
		panic(http.ErrAbortHandler)
	case !ok:
		http.Error(w, `{"message":"requested lease not found"}`, http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, res)
	}
}

func (k *KV) txn(req ports.WireTxn) (ports.WireTxnResult, bool) {
	ops := req.Success
	matched := true
	for _, c := range req.Compare {
		matched = matched && k.data[string(c.Key)].ModRevision == c.ModRevision
	}
	if !matched {
		ops = req.Failure
	}
	res := ports.WireTxnResult{Succeeded: matched}
	for _, op := range ops {
		var out ports.WireOpResult
		switch {
		case op.Range != nil:
			result := k.readRange(op.Range.Key, op.Range.RangeEnd)
			out.Range = &result
		case op.Put != nil:
			if op.Put.Lease != 0 && k.leases[op.Put.Lease] == nil {
				return res, false
			}
			k.put(*op.Put)
		case op.Delete != nil:
			k.remove(string(op.Delete.Key))
		}
		res.Responses = append(res.Responses, out)
	}
	res.Header.Revision = k.revision
	return res, true
}

func (k *KV) put(p ports.WirePut) {
	k.revision++
	kv := ports.WireKV{Key: p.Key, Value: p.Value, ModRevision: k.revision, Lease: p.Lease}
	k.data[string(p.Key)] = kv
	k.appendEvent(ports.WireEvent{KV: kv})
}

func (k *KV) remove(key string) {
	if _, ok := k.data[key]; !ok {
		return
	}
	k.revision++
	delete(k.data, key)
	k.appendEvent(ports.WireEvent{Type: ports.EventDelete, KV: ports.WireKV{Key: []byte(key), ModRevision: k.revision}})
}

func (k *KV) appendEvent(ev ports.WireEvent) {
	k.history = append(k.history, ev)
	if len(k.history) > maxHistory {
		k.compacted = k.history[0].KV.ModRevision
		k.history = k.history[1:]
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *KV) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req ports.WireLease
	if !readJSON(w, r, &req) {
		return
	}
	k.mu.Lock()
	k.lastLease++
	id := k.lastLease
	ttl := time.Duration(req.TTL) * time.Second
	k.leases[id] = &kvLease{ttl: ttl, expires: time.Now().Add(ttl)}
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, ports.WireLease{ID: id, TTL: req.TTL})
}

func (k *KV) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req ports.WireLease
	if !readJSON(w, r, &req) {
		return
	}
	var out ports.WireKeepAlive
	k.mu.Lock()
	if l := k.leases[req.ID]; l != nil {
		l.expires = time.Now().Add(l.ttl)
		out.Result = ports.WireLease{ID: req.ID, TTL: int64(l.ttl / time.Second)}
	}
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (k *KV) serveRevoke(w http.ResponseWriter, r *http.Request) {
	var req ports.WireLease
	if !readJSON(w, r, &req) {
		return
	}
	k.mu.Lock()
	k.expireLease(req.ID)
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (k *KV) expireLease(id int64) {
	delete(k.leases, id)
	for key, kv := range k.data {
		if kv.Lease == id {
			k.remove(key)
		}
	}
}

func (k *KV) expireLeases() {
	for range time.Tick(leaseSweepInterval) {
		k.mu.Lock()
		// Leases do not expire during a simulated outage, when no client can renew them.
		for id, l := range k.leases {
			if time.Now().After(l.expires) && !k.faults.Down {
				k.expireLease(id)
			}
		}
		k.mu.Unlock()
	}
}

func (k *KV) serveWatch(w http.ResponseWriter, r *http.Request) {
	var req ports.WireWatchCreate
	if !readJSON(w, r, &req) {
		return
	}
	enc := json.NewEncoder(w)
	from := req.Create.StartRevision
	for first := true; ; first = false {
		k.mu.Lock()
		msg, canceled := k.watchResult(req, from)
		from = max(from, msg.Result.Header.Revision+1)
		changed, down := k.changed, k.down
		k.mu.Unlock()
		if first || canceled || len(msg.Result.Events) > 0 || req.Create.Progress {
			if enc.Encode(msg) != nil || canceled {
				return
			}
			w.(http.Flusher).Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-down:
			panic(http.ErrAbortHandler)
		case <-changed:
		case <-time.After(watchProgressInterval):
		}
	}
}

func (k *KV) watchResult(req ports.WireWatchCreate, from int64) (ports.WireWatchResult, bool) {
	var msg ports.WireWatchResult
	msg.Result.Header.Revision = k.revision
	if from <= k.compacted {
		msg.Result.Canceled = true
		msg.Result.CompactRevision = k.compacted + 1
		return msg, true
	}
	at, _ := slices.BinarySearchFunc(k.history, from, func(ev ports.WireEvent, rev int64) int {
		return int(ev.KV.ModRevision - rev)
	})
	for _, ev := range k.history[at:] {
		if inRange(ev.KV.Key, req.Create.Key, req.Create.RangeEnd) {
			msg.Result.Events = append(msg.Result.Events, ev)
		}
	}
	return msg, false
}

func readJSON(w http.ResponseWriter, r *http.Request, dst any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(dst)
	if err != nil {
		http.Error(w, "bad body: "+err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
