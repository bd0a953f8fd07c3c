package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"github.com/crankridge/crankridge/src/ports"
)

// Snapshot is what is in force at one moment; it is not changed once built.
type Snapshot struct {
	Events    map[string]Resource
	Models    map[string]Resource
	Adapters  map[string]Resource
	Services  map[string]Resource
	Customers map[string]Resource
	byKeyHash map[string]string
}

// NewSnapshot reads the resources among items. One that cannot be decoded is
// left out and named in broken.
func NewSnapshot(items []ports.Item) (s *Snapshot, broken []string) {
	s = &Snapshot{
		Events: map[string]Resource{}, Models: map[string]Resource{}, Adapters: map[string]Resource{},
		Services: map[string]Resource{}, Customers: map[string]Resource{}, byKeyHash: map[string]string{},
	}
	for _, it := range items {
		r, err := Decode(it)
		if err != nil || r.Validate() != nil {
			broken = append(broken, it.Key)
			continue
		}
		s.add(r)
	}
	return s, broken
}

func (s *Snapshot) add(r Resource) {
	switch r.Kind {
	case KindEvent:
		s.Events[r.Name] = r
	case KindModel:
		s.Models[r.Name] = r
	case KindAdapter:
		s.Adapters[r.Name] = r
	case KindService:
		s.Services[r.Name] = r
	case KindCustomer:
		s.Customers[r.Name] = r
		s.byKeyHash[r.Customer.KeySHA256] = r.Name
	}
}

// HashKey is the stored form of a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CustomerByKey finds the customer whose bearer key this is. The look-up is by
// the key's hash, which tells nothing of the key by its timing.
func (s *Snapshot) CustomerByKey(key string) (Resource, bool) {
	hash := HashKey(key)
	c, ok := s.Customers[s.byKeyHash[hash]]
	if !ok {
		return Resource{}, false
	}
	same := subtle.ConstantTimeCompare([]byte(hash), []byte(c.Customer.KeySHA256)) == 1
	return c, same
}

// Target is the latency and priority a customer has now: from the events in
// force first, else from its own resource.
type Target struct {
	FirstToken time.Duration // 0 when none is set
	Priority   int
	Share      int
}

// EventPriority is the least priority of an event in force; all others are below.
const EventPriority = maxPriority + 1

// TargetOf returns the customer's target at the time now.
func (s *Snapshot) TargetOf(customer Resource, now time.Time) Target {
	t := Target{Priority: customer.Customer.Priority, Share: customer.Customer.Weight}
	for _, ev := range s.Events {
		if now.Before(ev.Event.Start) || !now.Before(ev.Event.End) {
			continue
		}
		for _, c := range ev.Event.Customers {
			if c.Name == customer.Name {
				t = t.raise(ev.Event.Priority+EventPriority, c)
			}
		}
	}
	return t
}

func (t Target) raise(priority int, c EventCustomer) Target {
	first := time.Duration(c.FirstTokenMS) * time.Millisecond
	if t.FirstToken == 0 || first < t.FirstToken {
		t.FirstToken = first
	}
	t.Priority = max(t.Priority, priority)
	t.Share = max(t.Share, c.Share)
	return t
}
