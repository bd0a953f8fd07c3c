// Package traffic defines the gateway's configuration: routes, services,
// customers and limits, and the running servers of the services. Its values
// must not be modified once they are in use.
package traffic

import (
	"slices"
	"time"
)

// Kind determines whether the requests of a route may be repeated and how they are
// answered.
type Kind int

// The kinds of routes. A stream is treated as Once unless its route is resumable.
const (
	Once       Kind = iota // runs at most once per client attempt
	Repeatable             // idempotent: may run more than once
	Stream                 // answered with an event stream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	return [...]string{"once", "repeatable", "stream"}[k]
}

// Config is one version of the configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[string]Service
	Customers []Customer
	Limits    Limits
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // maximum duration of a request
	Priority    int           // 0 is the highest, unlike in package catalog
	Split       []WeightedService
	MaxAttempts int  // maximum number of servers tried per client attempt
	Public      bool // requests need no API key
	Sticky      bool // servers are chosen by their prefix cache as well as their load
	Resumable   bool // an interrupted stream can be continued
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Services returns the services that the route leads to now.
func (r *Route) Services() []string {
	var out []string
	for _, s := range r.Split {
		if s.Weight > 0 || len(r.Split) == 1 {
			out = append(out, s.Service)
		}
	}
	return out
}

// Serves reports whether the route leads to a service now.
func (r *Route) Serves(service string) bool { return slices.Contains(r.Services(), service) }

// WeightedService is a service of a route with its weight in the split.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable servers.
type Service struct {
	Name    string
	Engine  *Engine  // nil if the servers are not model engines
	Scaling *Scaling // nil if no servers can be ordered
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int // requests that an engine runs at a time
}

// Scaling configures the scaling of a service. Min and Max are numbers of servers
// in each failure domain.
type Scaling struct {
	Min, Max      int
	Boot          time.Duration      // time to boot a server
	SpotPrice     float64            // fraction of the on-demand price
	DomainPrices  map[string]float64 // price of a server by failure domain; only their order matters
	SortedDomains []string           // sorted keys of DomainPrices
}

// Customer is an organisation with its API keys and its rate limit.
type Customer struct {
	Name          string
	Keys          []string // API keys, sent as bearer tokens
	Priority      *int     // overrides the priority of the route
	LimitsTokens  bool     // the rate limit counts tokens instead of requests
	DefaultTokens int      // tokens counted for a request that does not state them
	Rate          float64  // tokens or requests per second
	Burst         float64  // tokens or requests
}

// Limits are the limits of client connections and requests.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration // for which a connection may rest; 0 if there is no limit
}

// Upstream is a running server of a service.
type Upstream struct {
	ID            string
	Service       string
	Address       string // host:port
	FailureDomain string
	Version       string
	Slots         int
	Draining      bool
	Spot          bool
	DrainTime     time.Duration // time until a draining server terminates; 0 if unknown
	WarmupTime    time.Duration // remaining warm-up time
	StartedMS     int64         // start time in Unix ms, changes with a restart; 0 if unknown
}
