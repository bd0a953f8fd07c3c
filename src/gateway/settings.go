// Package gateway is the data path before servers that operators configure by
// routes: it takes requests in, checks key and limits, chooses a server, sends,
// relays the answer, and tries again or goes on elsewhere where that is allowed.
package gateway

import (
	"time"

	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/traffic"
	"github.com/crankridge/crankridge/src/view"
)

// Settings is what one gateway process is told at its start.
type Settings struct {
	File          string // from which they were read; looked at for changes
	Node          string
	FailureDomain string
	Region        string
	Listen        Listeners
	Seeds         []string      // peers' addresses that may be stale
	Grace         time.Duration // from the signal to stop until the process is killed
	AddressTTL    time.Duration // how long clients may keep a list of addresses
	Retries       RetryLimits
	Duties        DutyLimits
	Quota         QuotaLimits
	FirstStart    bool   // no node of the system has run before
	Store         string // address of the key-value service
	Cloud         string // address of the cloud; empty where there is none
}

// Listeners are the addresses to listen on, host:port; optional ones may be empty.
type Listeners struct {
	Callers   string
	Ready     string
	Peers     string
	Directory string
	Metrics   string
}

// RetryLimits bound, over all nodes, what is sent more than once.
type RetryLimits struct {
	Ratio  float64 // of the requests in a window
	Extra  float64 // beyond the ratio
	Window time.Duration
}

// QuotaLimits tell how far customers' limits may be exceeded.
type QuotaLimits struct {
	Window  time.Duration // in which the burst may be used once
	Overage float64       // part of rate and burst that may come on top of them, in a window
	Slack   float64       // beyond that, in a window
}

// DutyLimits are the bounds of what one node at a time does.
type DutyLimits struct {
	Usage       bool
	Scale       bool
	Lease       time.Duration
	UsageWindow time.Duration
	UsageLate   time.Duration
}

// Store is what the gateway needs of the key-value service.
type Store interface {
	duty.Store
	view.Watchable
}

// Platform is what the gateway needs of the platform that it runs on: names,
// formats and calls.
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
