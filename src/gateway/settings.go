// Package gateway implements the data path: it accepts client requests, checks
// keys and limits, chooses a server by route, relays its response, and retries or
// resumes on another server where the route allows it. A server, here, is what other
// packages call an upstream: a model engine or a server of a plain service.
package gateway

import (
	"time"

	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/traffic"
	"github.com/crankridge/crankridge/src/view"
)

// Settings are the startup settings of one gateway process.
type Settings struct {
	File          string // path of the settings file, watched for changes
	Node          string
	FailureDomain string
	Listen        Listeners
	Seeds         []string      // peer addresses, which may be stale
	Grace         time.Duration // from the stop signal until the process is killed
	AddressTTL    time.Duration // how long clients may cache the address list
	Retries       RetryLimits
	Duties        DutyLimits
	Quota         QuotaLimits
	MemoryBytes   int64  // that the process may use; 0 if it is not known
	FirstStart    bool   // no node of this deployment has run before
	Store         string // address of the key-value service
	Cloud         string // address of the cloud API; empty if there is none
}

// Listeners holds the listen addresses (host:port). Optional ones may be empty.
type Listeners struct {
	Callers   string // client requests
	Ready     string // readiness probes of the platform
	Peers     string // other nodes
	Directory string // queries for the addresses of the nodes
	Metrics   string
}

// RetryLimits bounds the retries of all nodes together.
type RetryLimits struct {
	Ratio  float64 // retries per request within a window
	Extra  float64 // retries allowed per window beyond the ratio
	Window time.Duration
}

// QuotaLimits bounds how far customers may exceed their limits.
type QuotaLimits struct {
	Window  time.Duration // the burst may be used once per window
	Overage float64       // allowed excess per window, as a fraction of rate and burst
	Slack   float64       // allowed excess per window beyond that, in requests or tokens
}

// DutyLimits configures the duties that one node at a time performs.
type DutyLimits struct {
	Usage       bool          // this node may report usage
	Scale       bool          // this node may order servers
	Lease       time.Duration // TTL of the duty lease
	UsageWindow time.Duration
	UsageLate   time.Duration // time from the end of a usage window until its report is due
}

// Store is the key-value service as used by the gateway.
type Store interface {
	duty.Store
	view.Watchable
}

// Platform abstracts the platform that the gateway runs on: its names, formats
// and API calls.
type Platform interface {
	duty.UsageSender
	duty.OrderSender
	Store() Store
	Headers() traffic.Headers
	ReadinessPath() string
	ResolvePath() string
	Resolve(addresses []string, ttl time.Duration) any
	ConfigKey() string
	ServerPrefix() string
	DecodeConfig(raw []byte) (traffic.Config, error)
	DecodeServer(key string, raw []byte) (traffic.Upstream, error)
}
