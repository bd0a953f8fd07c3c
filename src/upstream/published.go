// Package upstream owns what a node knows of the model engines and plain
// services it may send to: what the planner published, what the node saw
// itself, and which of them are leaving.
package upstream

import (
	"encoding/json"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/view"
)

// Prefix is where the published lists stand, one value a failure domain.
const Prefix = view.Prefix + "upstreams/"

// Kind tells what an upstream is.
type Kind string

// The kinds of upstream.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Published is one upstream as the planner last saw it.
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
	PrefillTPS    float64              `json:"prefill,omitempty"`
	KVTransferTPS float64              `json:"move,omitempty"`
	LeavingMS     int64                `json:"leaving,omitempty"` // Unix ms; 0 when it stays
}

// Domain is the published list of one failure domain.
type DomainUpstreams struct {
	Upstreams []Published `json:"upstreams"`
}

// DecodeDomain reads the stored form.
func DecodeDomainUpstreams(raw []byte) (DomainUpstreams, error) {
	var d DomainUpstreams
	err := json.Unmarshal(raw, &d)
	return d, err
}

// Encode gives the stored form.
func (d DomainUpstreams) Encode() []byte {
	raw, err := json.Marshal(d)
	if err != nil {
		panic("an upstream list cannot be encoded: " + err.Error())
	}
	return raw
}
