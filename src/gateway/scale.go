package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/capacity"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/traffic"
)

const (
	spotComingBeyond = 3 * time.Second         // beyond the boot time, at the first start
	listWait         = 3000 * time.Millisecond // in which all servers enter the list after the node's start
)

// scaler decides, at the holder of the duties, how many servers to order.
type scaler struct {
	mu     sync.Mutex
	meters map[string]*capacity.DemandMeter // of this node, by service
	peaks  map[string]*capacity.RollingMax
	asked  map[string]bool // whether there was demand at the last look
	listed map[string]int  // most servers seen of a service before there was any demand
}

func newScaler() *scaler {
	return &scaler{meters: map[string]*capacity.DemandMeter{}, peaks: map[string]*capacity.RollingMax{}, listed: map[string]int{}, asked: map[string]bool{}}
}

// meter is this node's meter of a service.
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

// demands is what this node tells the others of its services.
func (s *scaler) demands(now time.Time) []*cluster.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*cluster.Demand
	for service, m := range s.meters {
		out = append(out, &cluster.Demand{Service: service, Tokens: float32(m.TokenRate(now)), Reading: float32(m.PrefillRate())})
	}
	return out
}

// scaleStep orders servers for every service that can be scaled.
func (n *Node) scaleStep(ctx context.Context) {
	table := n.table.Load()
	if table == nil || time.Since(n.began) < listWait {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(table.Config.Services)) {
		service := table.Config.Services[name]
		if service.Scaling == nil {
			continue
		}
		servers := n.fleet.list(name)
		if len(servers) == 0 {
			continue
		}
		supply := capacity.SupplyOf(servers)
		orders := capacity.Plan(name, *service.Scaling, n.need(service, servers), supply)
		n.buyer.Reconcile(ctx, *service.Scaling, orders, supply)
	}
}

// need is how many servers of a service the nodes' demand asks for. Before
// there is any, it is what was there at first.
func (n *Node) need(service traffic.Service, servers []traffic.Upstream) capacity.Need {
	now := time.Now()
	var tokens, reading, running, measured float64
	for _, m := range n.members.All() {
		if now.Sub(m.Heard) > cluster.LoadMaxAge {
			continue
		}
		for _, d := range m.Record.Demands {
			if d.Service == service.Name {
				tokens += float64(d.Tokens)
				if d.Reading > 0 {
					reading += float64(d.Reading)
					measured++
				}
			}
		}
	}
	if measured > 0 {
		reading /= measured
	}
	for _, s := range servers {
		running += n.fleet.running(s.ID)
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
	klog.V(1).InfoS("demand", "service", service.Name, "tokens", tokens, "reading", reading, "running", running)
	wanted := capacity.RequiredServers(tokens, running, slots, reading)
	if wanted == 0 || !n.scaler.asked[service.Name] {
		// What is there stays for a while: the demand shows only with time.
		n.scaler.listed[service.Name] = max(n.scaler.listed[service.Name], capacity.InferredNeed(servers, n.set.FirstStart))
		peak.Add(n.scaler.listed[service.Name], now)
	}
	n.scaler.asked[service.Name] = wanted > 0
	early := now.Sub(n.began) < service.Scaling.Boot+listWait+spotComingBeyond
	return capacity.Need{Servers: peak.Add(wanted, now), SpotPending: wanted == 0 && n.set.FirstStart && early}
}
