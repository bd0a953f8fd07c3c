// Package ports contains clients of the services of the platform: the key-value
// service and the cloud API.
package ports

// The key-value service uses the JSON form of the etcd v3 API (its gRPC gateway),
// with keys and values in base64 and 64-bit numbers as strings. Only the fields
// used here are declared.

// WireHeader is part of every response.
type WireHeader struct {
	Revision int64 `json:"revision,string"`
}

// WireKV is a stored key-value pair.
type WireKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// WireRange requests one key, or all keys in [Key, RangeEnd).
type WireRange struct {
	Key          []byte `json:"key"`
	RangeEnd     []byte `json:"range_end,omitempty"`
	Serializable bool   `json:"serializable,omitempty"`
}

// WireRangeResult is the response to a WireRange.
type WireRangeResult struct {
	Header WireHeader `json:"header"`
	KVs    []WireKV   `json:"kvs"`
}

// WirePut stores a pair, attached to a lease unless Lease is 0.
type WirePut struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// WireDelete deletes a key.
type WireDelete struct {
	Key []byte `json:"key"`
}

// WireCompare is a condition on the modification revision of a key.
type WireCompare struct {
	Key         []byte `json:"key"`
	Result      string `json:"result"`
	Target      string `json:"target"`
	ModRevision int64  `json:"mod_revision,string"`
}

// WireOp is an operation of a transaction; exactly one field is set.
type WireOp struct {
	Range  *WireRange  `json:"request_range,omitempty"`
	Put    *WirePut    `json:"request_put,omitempty"`
	Delete *WireDelete `json:"request_delete_range,omitempty"`
}

// WireOpResult is the response to a WireOp.
type WireOpResult struct {
	Range *WireRangeResult `json:"response_range,omitempty"`
}

// WireTxn is a conditional transaction.
type WireTxn struct {
	Compare []WireCompare `json:"compare"`
	Success []WireOp      `json:"success"`
	Failure []WireOp      `json:"failure"`
}

// WireTxnResult is the response to a WireTxn.
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

// WireKeepAlive is the streamed response to a keep-alive; a TTL of 0 means that
// the lease has expired.
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

// WireEvent is a change reported by a watch.
type WireEvent struct {
	Type string `json:"type,omitempty"`
	KV   WireKV `json:"kv"`
}

// WireWatchResult is a message of a watch.
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
	// CompareEqual and CompareMod form the only condition used.
	CompareEqual = "EQUAL"
	CompareMod   = "MOD"
	// EventDelete marks a removal; puts have no type.
	EventDelete = "DELETE"
)
