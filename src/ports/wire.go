// Package ports holds the ports to the services the platform gives: the
// key-value service, the cloud API with its VM list, and the weight store.
package ports

// The key-value service is spoken to by the JSON form of the etcd v3 API
// (its published gRPC gateway). Keys and values travel as base64, 64-bit
// numbers as strings. Only the fields used here are declared.

// WireHeader is part of every answer.
type WireHeader struct {
	Revision int64 `json:"revision,string"`
}

// WireKV is one stored pair.
type WireKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// WireRange asks for one key, or for all in [Key, RangeEnd).
type WireRange struct {
	Key          []byte `json:"key"`
	RangeEnd     []byte `json:"range_end,omitempty"`
	Serializable bool   `json:"serializable,omitempty"`
}

// WireRangeResult answers a WireRange.
type WireRangeResult struct {
	Header WireHeader `json:"header"`
	KVs    []WireKV   `json:"kvs"`
}

// WirePut stores a pair, bound to a lease unless Lease is 0.
type WirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// WireDelete removes one key.
type WireDelete struct {
	Key []byte `json:"key"`
}

// WireCompare guards a transaction by a key's modification revision.
type WireCompare struct {
	Key         []byte `json:"key"`
	Result      string `json:"result"`
	Target      string `json:"target"`
	ModRevision int64  `json:"mod_revision,string"`
}

// WireOp is one step of a transaction; exactly one field is set.
type WireOp struct {
	Range  *WireRange  `json:"request_range,omitempty"`
	Put    *WirePut    `json:"request_put,omitempty"`
	Delete *WireDelete `json:"request_delete_range,omitempty"`
}

// WireOpResult answers a WireOp.
type WireOpResult struct {
	Range *WireRangeResult `json:"response_range,omitempty"`
}

// WireTxn is a guarded transaction.
type WireTxn struct {
	Compare []WireCompare `json:"compare"`
	Success []WireOp      `json:"success"`
	Failure []WireOp      `json:"failure"`
}

// WireTxnResult answers a WireTxn.
type WireTxnResult struct {
	Header    WireHeader     `json:"header"`
	Succeeded bool           `json:"succeeded"`
	Responses []WireOpResult `json:"responses"`
}

// WireLease is used to grant (TTL), keep alive and revoke (ID) a lease; TTL in seconds.
type WireLease struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// WireKeepAlive is the streamed answer to a keep-alive; a TTL of 0 means the lease is gone.
type WireKeepAlive struct {
	Result WireLease `json:"result"`
}

// WireWatchCreate opens a watch.
type WireWatchCreate struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
		Progress      bool   `json:"progress_notify"`
	} `json:"create_request"`
}

// WireEvent is one change seen by a watch.
type WireEvent struct {
	Type string `json:"type,omitempty"`
	KV   WireKV `json:"kv"`
}

// WireWatchResult is one message of a watch.
type WireWatchResult struct {
	Result struct {
		Header          WireHeader  `json:"header"`
		Created         bool        `json:"created,omitempty"`
		Canceled        bool        `json:"canceled,omitempty"`
		CompactRevision int64       `json:"compact_revision,string,omitempty"`
		Events          []WireEvent `json:"events,omitempty"`
	} `json:"result"`
}

const (
	// CompareEqual and CompareMod are the only guard used.
	CompareEqual = "EQUAL"
	CompareMod   = "MOD"
	// EventDelete marks a removal; a stored value has no type.
	EventDelete = "DELETE"
)
