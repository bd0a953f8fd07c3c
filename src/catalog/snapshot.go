package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"github.com/crankridge/crankridge/src/ports"
)

// Snapshot is an immutable view of all valid resources, by kind and name.
type Snapshot struct {
	Events    map[string]Resource
	Models    map[string]Resource
	Adapters  map[string]Resource
	Services  map[string]Resource
	Customers map[string]Resource
	byKeyHash map[string]string
}

// NewSnapshot builds a snapshot from stored items. Items that are invalid are
// skipped, and their keys returned in broken.
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
		s.byKeyHash[r.Customer.keyHash()] = r.Name
	}
}

// keyHash returns the hash of the customer's key in the form of HashKey.
func (c *Customer) keyHash() string { return strings.ToLower(c.KeySHA256) }

// HashKey returns the hash under which a bearer key is stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// CustomerByKey returns the customer with the given bearer key. The lookup is by
// hash, so that its timing does not reveal the key.
func (s *Snapshot) CustomerByKey(key string) (Resource, bool) {
	hash := HashKey(key)
	c, ok := s.Customers[s.byKeyHash[hash]]
	if !ok {
		return Resource{}, false
	}
	// byKeyHash may still hold the key of a customer that a later item of the same
	// name has replaced.
	same := subtle.ConstantTimeCompare([]byte(hash), []byte(c.Customer.keyHash())) == 1
	return c, same
}

// Target is the latency target and priority of a customer, from its resource and
// the events in force.
type Target struct {
	FirstToken time.Duration // 0 if none is set
	Priority   int
	Weight     int // weight among customers
}

// EventPriority is the lowest priority of requests of an event in force. All
// other requests have a lower priority.
const EventPriority = maxPriority + 1

// TargetOf returns the target of a customer at now. An event is in force here from
// its start to its end, even if its phase is not event.InForce.
func (s *Snapshot) TargetOf(customer Resource, now time.Time) Target {
	t := Target{Priority: customer.Customer.Priority, Weight: customer.Customer.Weight}
	for _, ev := range s.Events {
		if now.Before(ev.Event.Start) || !now.Before(ev.Event.End) {
			continue
		}
		for _, c := range ev.Event.Customers {
			if c.Name == customer.Name {
				t = t.withEvent(ev.Event.Priority+EventPriority, c)
			}
		}
	}
	return t
}

func (t Target) withEvent(priority int, c EventCustomer) Target {
	firstToken := time.Duration(c.FirstTokenMS) * time.Millisecond
	if t.FirstToken == 0 || firstToken < t.FirstToken {
		t.FirstToken = firstToken
	}
	t.Priority = max(t.Priority, priority)
	t.Weight = max(t.Weight, c.Share)
	return t
}
