// Package catalog defines the resources that operators configure (events,
// models, adapters, services and customers), their encoding and their validation.
// Each resource is written on its own, so a resource may name another one that
// does not exist.
package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/view"
)

// Kind is the kind of a resource.
type Kind string

// Kinds of resources.
const (
	KindEvent    Kind = "event"
	KindModel    Kind = "model"
	KindAdapter  Kind = "adapter"
	KindService  Kind = "service"
	KindCustomer Kind = "customer"
)

// Kinds lists all kinds in display order.
var Kinds = []Kind{KindEvent, KindModel, KindAdapter, KindService, KindCustomer}

// ConfigPrefix is the key prefix of all resources.
const ConfigPrefix = view.Prefix + "config/"

// ErrInvalid is wrapped by all validation errors.
var ErrInvalid = errors.New("invalid resource")

// Resource is a stored resource. Only the spec of its kind is set.
type Resource struct {
	Kind     Kind      `json:"kind"`
	Name     string    `json:"name"`
	Event    *Event    `json:"event,omitempty"`
	Model    *Model    `json:"model,omitempty"`
	Adapter  *Adapter  `json:"adapter,omitempty"`
	Service  *Service  `json:"service,omitempty"`
	Customer *Customer `json:"customer,omitempty"`
	// Changes lists the IDs of the last few writes, newest last, so that a
	// writer that received no response can tell whether its write succeeded.
	Changes []string `json:"changes,omitempty"`
	// Version is the revision of the last write. It is not part of the stored value.
	Version int64 `json:"version,omitempty"`
}

// Event is a planned surge in demand.
type Event struct {
	Start     time.Time       `json:"start"`
	End       time.Time       `json:"end"`
	Models    []EventModel    `json:"models"`
	Services  []string        `json:"services,omitempty"`
	Customers []EventCustomer `json:"customers"`
	Priority  int             `json:"priority,omitempty"` // 0 to 9; requests with a higher number go first
	// CostWeight is from 0 to 1. When a VM is bought, its price always counts; the
	// expected cost of losing it counts fully at 0 and not at all at 1.
	CostWeight float64 `json:"cost_weight,omitempty"`
}

// EventModel is a model that an event needs, with its number of servers.
type EventModel struct {
	Name     string   `json:"name"`
	Adapters []string `json:"adapters,omitempty"`
	Servers  int      `json:"servers"` // number that must remain after the loss of any failure domain
}

// EventCustomer is a customer that an event serves.
type EventCustomer struct {
	Name         string `json:"name"`
	FirstTokenMS int    `json:"first_token_ms"`  // latency target, ms
	Share        int    `json:"share,omitempty"` // weight during the event, if above the customer's own
}

// Model is a language model that can be loaded.
type Model struct {
	Bytes   int64  `json:"bytes"` // size of the weights
	Version string `json:"version"`
	Servers int    `json:"servers,omitempty"` // number kept outside of events
	Class   string `json:"class,omitempty"`   // VM class; empty for any
}

// Adapter is a set of weights that is loaded in addition to those of a model.
type Adapter struct {
	Model   string `json:"model"`
	Bytes   int64  `json:"bytes"`
	Version string `json:"version"`
}

// Service is a plain service: an HTTP service other than a model.
type Service struct {
	// Repeatable means that a call may be run twice. A caller may mark a single
	// call as not repeatable, but not the other way round.
	Repeatable bool `json:"repeatable"`
	// ChecksFencing records that the service refuses calls with an older fencing
	// token. It is informational; the token is sent to all services.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	TimeoutMS     int  `json:"timeout_ms,omitempty"` // per call, with all attempts; 0 to use the request's deadline
}

// Customer is an organisation or person whose calls are served. Its API key is
// also called bearer key, because calls send it as a bearer token.
type Customer struct {
	KeySHA256  string  `json:"key_sha256"`                    // hash of the bearer key, hexadecimal
	Weight     int     `json:"weight"`                        // relative share of scarce capacity
	RequestsPS float64 `json:"requests_per_second,omitempty"` // rate limit over all nodes; 0 for none
	Priority   int     `json:"priority,omitempty"`            // 0 to 9; requests with a higher number go first
}

// Key returns the key under which a resource is stored.
func Key(kind Kind, name string) string {
	return ConfigPrefix + string(kind) + "/" + name
}

// Encode returns the stored form of the resource.
func (r Resource) Encode() []byte {
	r.Version = 0
	raw, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("catalog: encode resource %s/%s: %v", r.Kind, r.Name, err))
	}
	return raw
}

// Decode decodes a resource from its stored form.
func Decode(it ports.Item) (Resource, error) {
	var r Resource
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return r, err
	}
	r.Version = it.Revision
	return r, nil
}

// ParseKind parses the name of a kind, in singular or plural.
func ParseKind(s string) (Kind, bool) {
	for _, k := range Kinds {
		if s == string(k) || strings.TrimSuffix(s, "s") == string(k) {
			return k, true
		}
	}
	return "", false
}
