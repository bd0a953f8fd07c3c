// Package traffic holds what operators configure of the gateway: routes,
// services, customers and limits, and the servers that run the services.
// Its values are immutable once published; lookups are pure.
package traffic

import "time"

// Kind says how often a request of a route may run.
type Kind int

// The kinds of routes. A stream counts as once unless its route is resumable.
const (
	Once       Kind = iota // at most one run for each attempt of a client
	Repeatable             // may run more than once
	Stream                 // answered by a series of events
)

// String names the kind for logs.
func (k Kind) String() string {
	return [...]string{"once", "repeatable", "stream"}[k]
}

// Config is one version of all that operators configure.
type Config struct {
	Version   int64
	Routes    []Route
	Services  map[string]Service
	Customers []Customer
	Limits    Limits
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // longest time a request is held
	Objective    time.Duration // time within which an answer is wanted
	GapObjective time.Duration // longest pause wanted between events of a stream
	Priority     int           // 0 is the highest
	Split        []WeightedService
	MaxAttempts  int // most servers that may run one attempt of a client
	Public       bool
	Sticky       bool
	Resumable    bool
}

// MayRepeat tells whether a request of the route may run a second time.
func (r *Route) Retryable() bool {
	return r.Kind == Repeatable || r.Kind == Stream && r.Resumable
}

// Share is one service of a route with its weight in the split.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a set of equal servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	Engine         *Engine  // set for model engines
	Scaling        *Scaling // set where servers can be ordered
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots       int
	CacheTokens int
	TokenBytes  int
	LinkMbps    float64
	KVTransfer  bool
	KVHandleTTL time.Duration
}

// Scaling bounds the servers of a service in each failure domain.
type Scaling struct {
	Min, Max      int
	Boot          time.Duration
	SpotPrice     float64            // share of the on-demand price
	DomainPrices  map[string]float64 // by failure domain
	SortedDomains []string           // the keys of DomainPrices, sorted
}

// Customer is who pays for requests, with its keys and its limit.
type Customer struct {
	Name          string
	Keys          []string
	Priority      *int // goes before the route's
	LimitsTokens  bool // the limit counts tokens, not requests
	DefaultTokens int  // tokens of a request that names none
	Rate          float64
	Burst         float64
}

// Limits bound what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Upstream is one running server of a service.
type Upstream struct {
	ID            string
	Service       string
	Address       string // host:port
	FailureDomain string
	Version       string
	Slots         int
	Draining      bool
	Spot          bool
	DrainTime     time.Duration // time until it is gone when draining; 0 if not told
	WarmupTime    time.Duration
	StartedMS     int64 // Unix milliseconds of its start; 0 if not told. Another value is another life
}
