package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/capacity"
	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/traffic"
)

const (
	spotStartupMargin = 3 * time.Second         // beyond Scaling.Boot and listingDelay, for the first spot servers to arrive
	listingDelay      = 3000 * time.Millisecond // time for all servers to be listed after the node has started
	idleRetention     = 5 * time.Minute         // without demand, for which a service keeps its servers: several boots, and pauses in traffic
)

// scaler holds the demand data from which the lease holder sizes services.
type scaler struct {
	mu             sync.Mutex
	meters         map[string]*capacity.DemandMeter // of this node, by service
	peaks          map[string]*capacity.RollingMax  // of the required servers, by service
	hadDemand      map[string]bool                  // whether the last step saw demand
	idleSince      map[string]time.Time             // of services without demand
	initialServers map[string]int                   // highest need of a service that was inferred from its servers while it had no demand
}

func newScaler() *scaler {
	return &scaler{meters: map[string]*capacity.DemandMeter{}, peaks: map[string]*capacity.RollingMax{}, initialServers: map[string]int{}, hadDemand: map[string]bool{}, idleSince: map[string]time.Time{}}
}

// meter returns this node's demand meter of a service.
func (s *scaler) meter(service string) *capacity.DemandMeter {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.meters[service]
	if m == nil {
		m = &capacity.DemandMeter{}
		s.meters[service] = m
	}
	return m
}

// demands returns this node's demand by service, to be sent to other nodes.
func (s *scaler) demands(now time.Time) []*cluster.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*cluster.Demand
	for service, m := range s.meters {
		out = append(out, &cluster.Demand{Service: service, Tokens: float32(m.TokenRate(now)), Reading: float32(m.PrefillRate())})
	}
	return out
}

// scaleStep orders servers for every service that has scaling configured.
func (n *Node) scaleStep(ctx context.Context) {
	table := n.table.Load()
	if table == nil || clock.Since(n.startedAt) < listingDelay {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(table.Config.Services)) {
		service := table.Config.Services[name]
		if service.Scaling == nil {
			continue
		}
		servers := n.upstreams.servers(name)
		if len(servers) == 0 {
			continue
		}
		supply := capacity.SupplyOf(servers)
		orders := capacity.Plan(name, *service.Scaling, n.requiredServers(service, servers), supply)
		n.provisioner.Reconcile(ctx, *service.Scaling, orders, supply)
	}
}

// requiredServers returns how many servers the demand at all nodes requires.
// Without demand, the number is inferred from the existing servers.
func (n *Node) requiredServers(service traffic.Service, servers []traffic.Upstream) capacity.Need {
	now := clock.Now()
	var tokenRate, prefillRate, running, samples float64
	for _, m := range n.members.All() {
		if now.Sub(m.Heard) > cluster.LoadMaxAge {
			continue
		}
		for _, d := range m.Record.Demands {
			if d.Service == service.Name {
				tokenRate += float64(d.Tokens)
				if d.Reading > 0 {
					prefillRate += float64(d.Reading)
					samples++
				}
			}
		}
	}
	if samples > 0 {
		prefillRate /= samples
	}
	for _, s := range servers {
		running += n.upstreams.runningRequests(s.ID)
	}
	slots := 0
	if service.Engine != nil {
		slots = service.Engine.Slots
	}
	n.scaler.mu.Lock()
	defer n.scaler.mu.Unlock()
	peak := n.scaler.peaks[service.Name]
	if peak == nil {
		peak = &capacity.RollingMax{}
		n.scaler.peaks[service.Name] = peak
	}
	klog.V(1).InfoS("demand", "service", service.Name, "tokens", tokenRate, "reading", prefillRate, "running", running)
	required := capacity.RequiredServers(tokenRate, running, slots, prefillRate)
	peak.Add(n.scaler.retainedServers(service.Name, required, capacity.InferredNeed(servers, n.initial.FirstStart), now), now)
	spotMayArrive := now.Sub(n.startedAt) < service.Scaling.Boot+listingDelay+spotStartupMargin
	return capacity.Need{Servers: peak.Add(required, now), SpotPending: required == 0 && n.initial.FirstStart && spotMayArrive}
}

// retainedServers returns how many of the existing servers a service keeps although its demand
// requires fewer: all of them until there is demand, because it takes time to measure, but
// for idleRetention at most. The caller holds the lock.
func (s *scaler) retainedServers(service string, required, existing int, now time.Time) int {
	hadDemand := s.hadDemand[service]
	s.hadDemand[service] = required > 0
	if required > 0 {
		delete(s.idleSince, service)
	} else if s.idleSince[service].IsZero() {
		s.idleSince[service] = now
	}
	if required > 0 && hadDemand {
		return 0
	}
	if required == 0 && now.Sub(s.idleSince[service]) > idleRetention {
		delete(s.initialServers, service)
		return 0
	}
	s.initialServers[service] = max(s.initialServers[service], existing)
	return s.initialServers[service]
}
