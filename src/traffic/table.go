package traffic

import (
	"crypto/sha256"
	"net"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table indexes a configuration for lookups. It is immutable.
type Table struct {
	Config    Config
	byHost    map[string][]*Route // longest prefix first
	byKey     map[[sha256.Size]byte]*Customer
	customers map[string]*Customer
}

// NewTable indexes a configuration.
func NewTable(c Config) *Table {
	t := &Table{Config: c, byHost: map[string][]*Route{}, byKey: map[[sha256.Size]byte]*Customer{}, customers: map[string]*Customer{}}
	for i := range c.Routes {
		r := &t.Config.Routes[i]
		t.byHost[strings.ToLower(r.Host)] = append(t.byHost[strings.ToLower(r.Host)], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Customers {
		customer := &t.Config.Customers[i]
		t.customers[customer.Name] = customer
		for _, key := range customer.Keys {
			// Keys are hashed so that lookup times do not leak them.
			t.byKey[sha256.Sum256([]byte(key))] = customer
		}
	}
	return t
}

// Route returns the route with the longest prefix that matches a host and path,
// or nil. The port of the host is ignored.
func (t *Table) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests need an API key.
func (t *Table) RequiresKey() bool { return len(t.Config.Customers) > 0 }

// CustomerByKey returns the customer that has the given API key, or nil.
func (t *Table) CustomerByKey(key string) *Customer {
	return t.byKey[sha256.Sum256([]byte(key))]
}

// Customer returns the customer with the given name, or nil.
func (t *Table) Customer(name string) *Customer { return t.customers[name] }

// PickService returns the service for a request according to the weights of the
// route's split. The choice depends on the request ID only.
func (r *Route) PickService(requestID string) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		if len(r.Split) > 0 {
			return r.Split[0].Service
		}
		return ""
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, s := range r.Split {
		point -= max(s.Weight, 0)
		if point < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
