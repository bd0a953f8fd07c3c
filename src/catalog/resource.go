// Package catalog holds the resources that operators write: events, models,
// adapters, services and customers. It owns their shape and their rules; the
// consistency boundary is one resource.
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

// Kind names a type of resource.
type Kind string

// The kinds of resource.
const (
	KindEvent    Kind = "event"
	KindModel    Kind = "model"
	KindAdapter  Kind = "adapter"
	KindService  Kind = "service"
	KindCustomer Kind = "customer"
)

// Kinds lists all kinds in the order in which they are shown.
var Kinds = []Kind{KindEvent, KindModel, KindAdapter, KindService, KindCustomer}

// ConfigPrefix is where resources stand in the key space.
const ConfigPrefix = view.Prefix + "config/"

// ErrInvalid is the base of every validation error.
var ErrInvalid = errors.New("invalid resource")

// Resource is one stored resource. Exactly the spec of its kind is set.
type Resource struct {
	Kind     Kind      `json:"kind"`
	Name     string    `json:"name"`
	Event    *Event    `json:"event,omitempty"`
	Model    *Model    `json:"model,omitempty"`
	Adapter  *Adapter  `json:"adapter,omitempty"`
	Service  *Service  `json:"service,omitempty"`
	Customer *Customer `json:"customer,omitempty"`
	// Changes are the ids of the last few writes, newest last, by which a
	// writer who lost the answer knows its own write.
	Changes []string `json:"changes,omitempty"`
	// Version is the revision of the write; it is not part of the stored value.
	Version int64 `json:"version,omitempty"`
}

// Event is a surge known beforehand.
type Event struct {
	Start     time.Time       `json:"start"`
	End       time.Time       `json:"end"`
	Models    []EventModel    `json:"models"`
	Services  []string        `json:"services,omitempty"`
	Customers []EventCustomer `json:"customers"`
	Priority  int             `json:"priority,omitempty"` // higher goes first, 0 to 9
	// CostWeight is how much cost counts against latency, 0 (latency only) to 1 (cost only).
	CostWeight float64 `json:"cost_weight,omitempty"`
}

// EventModel is a model an event needs, with the servers its surge asks for.
type EventModel struct {
	Name     string   `json:"name"`
	Adapters []string `json:"adapters,omitempty"`
	Servers  int      `json:"servers"` // that must be left when any one failure domain is lost
}

// EventCustomer is a customer an event serves.
type EventCustomer struct {
	Name         string `json:"name"`
	FirstTokenMS int    `json:"first_token_ms"` // latency target, ms
	Share        int    `json:"share,omitempty"`
}

// Model is a language model that can be loaded.
type Model struct {
	Bytes   int64  `json:"bytes"` // of the weights
	Version string `json:"version"`
	Servers int    `json:"servers,omitempty"` // kept outside events
	Class   string `json:"class,omitempty"`   // of VM; empty for any
}

// Adapter is a small addition to a model.
type Adapter struct {
	Model   string `json:"model"`
	Bytes   int64  `json:"bytes"`
	Version string `json:"version"`
}

// Service is a plain companion service.
type Service struct {
	// Repeatable tells whether a call may be run twice; a caller may say
	// otherwise for one call only towards not repeatable.
	Repeatable bool `json:"repeatable"`
	// ChecksFencing tells operators that the service refuses calls with an
	// older fencing token. The token is sent to all; nothing else depends on it.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	TimeoutMS     int  `json:"timeout_ms,omitempty"` // of one call, all tries together; 0 for the request's own
}

// Customer is an organisation or person whose calls are served.
type Customer struct {
	KeySHA256  string  `json:"key_sha256"` // of the bearer key, hexadecimal
	Weight     int     `json:"weight"`     // share when there is not enough for all
	RequestsPS float64 `json:"requests_per_second,omitempty"`
	Priority   int     `json:"priority,omitempty"`
}

// Key is the place of a resource in the key space.
func Key(kind Kind, name string) string {
	return ConfigPrefix + string(kind) + "/" + name
}

// Encode gives the stored form.
func (r Resource) Encode() []byte {
	r.Version = 0
	raw, err := json.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("resource %s/%s cannot be encoded: %v", r.Kind, r.Name, err))
	}
	return raw
}

// Decode reads the stored form.
func Decode(it ports.Item) (Resource, error) {
	var r Resource
	if err := json.Unmarshal(it.Value, &r); err != nil {
		return r, err
	}
	r.Version = it.Revision
	return r, nil
}

// KnownKind parses a kind, in singular or plural.
func ParseKind(s string) (Kind, bool) {
	for _, k := range Kinds {
		if s == string(k) || strings.TrimSuffix(s, "s") == string(k) {
			return k, true
		}
	}
	return "", false
}
