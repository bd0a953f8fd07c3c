package traffic

import (
	"crypto/sha256"
	"net"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table answers lookups of one configuration.
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
			// Hashed, so that the time of a lookup tells nothing of a key.
			t.byKey[sha256.Sum256([]byte(key))] = customer
		}
	}
	return t
}

// Route returns the route of a host (a port is ignored) and path, or nil.
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

// Keyed tells whether requests need a key at all.
func (t *Table) RequiresKey() bool { return len(t.Config.Customers) > 0 }

// CustomerOf returns the customer that holds the key, or nil.
func (t *Table) CustomerByKey(key string) *Customer {
	return t.byKey[sha256.Sum256([]byte(key))]
}

// Customer returns the customer of a name, or nil.
func (t *Table) Customer(name string) *Customer { return t.customers[name] }

// Pick returns the service of a route for a request, by the weights of its
// split. The same request id always gets the same service.
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
	at := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, s := range r.Split {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
