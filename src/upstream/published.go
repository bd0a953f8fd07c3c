// Package upstream tracks the model engines and plain services a node may send
// requests to: the lists the planner publishes, the load and health the node
// observes, and which upstreams are leaving.
package upstream

import (
	"encoding/json"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/view"
)

// Prefix is the key prefix of the published lists, one key per failure domain.
const Prefix = view.Prefix + "upstreams/"

// Kind is the kind of an upstream.
type Kind string

// The kinds of upstreams.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Published is an upstream as published by the planner.
type Published struct {
	Name          string               `json:"name"`
	VM            string               `json:"vm,omitempty"`
	Addr          string               `json:"addr"`
	Kind          Kind                 `json:"kind"`
	Service       string               `json:"service,omitempty"`
	FailureDomain string               `json:"fd"`
	Region        string               `json:"region,omitempty"`
	Models        []engine.LoadedModel `json:"models,omitempty"`
	Slots         int                  `json:"slots,omitempty"`
	PrefillTPS    float64              `json:"prefill,omitempty"` // prefill rate in tokens per second
	KVTransferTPS float64              `json:"move,omitempty"`    // transfer rate of KV caches in tokens per second
	LeavingMS     int64                `json:"leaving,omitempty"` // deadline in Unix ms; 0 if the upstream is not leaving
}

// DomainUpstreams lists the published upstreams of one failure domain.
type DomainUpstreams struct {
	Upstreams []Published `json:"upstreams"`
}

// DecodeDomainUpstreams decodes the stored form.
func DecodeDomainUpstreams(raw []byte) (DomainUpstreams, error) {
	var d DomainUpstreams
	err := json.Unmarshal(raw, &d)
	return d, err
}

// Encode returns the stored form.
func (d DomainUpstreams) Encode() []byte {
	raw, err := json.Marshal(d)
	if err != nil {
		panic("encode upstream list: " + err.Error())
	}
	return raw
}
