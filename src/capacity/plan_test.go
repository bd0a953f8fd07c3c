package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/traffic"
)

func newScaling(domains, maxServers int) traffic.Scaling {
	s := traffic.Scaling{Min: 1, Max: maxServers, Boot: 4 * time.Second, SpotPrice: 0.15, DomainPrices: map[string]float64{}}
	for i := range domains {
		name := fmt.Sprintf("d%d", i)
		s.SortedDomains = append(s.SortedDomains, name)
		s.DomainPrices[name] = 1 + float64(i)/10
	}
	return s
}

func countOrders(orders []duty.Order) (onDemand, spot int) {
	for _, o := range orders {
		if o.Spot {
			spot += o.Count
		} else {
			onDemand += o.Count
		}
	}
	return onDemand, spot
}

func TestPlanCoversNeedWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 7).Draw(t, "domains")
		maxServers := rapid.IntRange(2, 12).Draw(t, "servers per domain")
		scaling := newScaling(domains, maxServers)
		supply := map[string]Supply{}
		for _, name := range scaling.SortedDomains {
			supply[name] = Supply{OnDemand: rapid.IntRange(0, maxServers).Draw(t, "on demand"), Spot: rapid.IntRange(0, maxServers).Draw(t, "spot")}
		}
		need := rapid.IntRange(1, domains*maxServers).Draw(t, "need")
		orders := Plan("s", scaling, Need{Servers: need}, supply)
		running := 0
		for _, o := range orders {
			if o.Count < 0 || o.Count > maxServers {
				t.Fatalf("count out of range: %+v", o)
			}
			if o.Spot {
				running += min(supply[o.FailureDomain].Spot, o.Count)
			} else {
				running += o.Count
			}
		}
		if running < need && running < domains*maxServers {
			t.Fatalf("%d servers would be running, need %d", running, need)
		}
	})
}

func TestOnDemandServersReplaceMissingSpotServers(t *testing.T) {
	is := is.New(t)
	scaling := newScaling(4, 10)
	all := map[string]Supply{}
	for _, o := range Plan("s", scaling, Need{Servers: 20}, nil) {
		if o.Spot {
			all[o.FailureDomain] = Supply{Spot: o.Count}
		}
	}
	onDemand, spot := countOrders(Plan("s", scaling, Need{Servers: 20}, all))
	is.Equal(onDemand, 4) // onDemandFraction
	is.Equal(spot, 21)    // the rest and spotHeadroom
	all["d0"] = Supply{}
	oneLost, _ := countOrders(Plan("s", scaling, Need{Servers: 20}, all))
	is.Equal(oneLost, 5) // the headroom covers nearly all of one domain
	all["d1"], all["d2"], all["d3"] = Supply{}, Supply{}, Supply{}
	allLost, spotWhenLost := countOrders(Plan("s", scaling, Need{Servers: 20}, all))
	is.Equal(allLost, 20)
	is.Equal(spotWhenLost, spot) // spot orders do not depend on the supply
}

func TestInferredNeedDoesNotGrowAcrossRestarts(t *testing.T) {
	is := is.New(t)
	scaling := newScaling(4, 10)
	need := 20
	for range 5 { // each round is a restart of all nodes, with unknown demand
		onDemand, spot := countOrders(Plan("s", scaling, Need{Servers: need}, map[string]Supply{"d0": {Spot: 10}, "d1": {Spot: 10}, "d2": {Spot: 10}, "d3": {Spot: 10}}))
		var servers []traffic.Upstream
		for range onDemand + spot {
			servers = append(servers, traffic.Upstream{})
		}
		servers = append(servers, traffic.Upstream{Draining: true})
		need = InferredNeed(servers, false)
		is.True(need <= 20)
		is.True(need >= 17)
	}
	is.Equal(InferredNeed(make([]traffic.Upstream, 18), true), 18)
}

func TestPrefillRateIgnoresCachedPrompts(t *testing.T) {
	is := is.New(t)
	var m DemandMeter
	for i := range 300 {
		duration := 100 * time.Millisecond // 40,000 tokens per second
		if i%10 == 0 {
			duration = 5 * time.Millisecond // cached
		}
		m.RecordPrefill(4000, duration)
	}
	is.True(m.PrefillRate() > 25000 && m.PrefillRate() < 90000)
	is.True(RequiredServers(150000, 30, 64, m.PrefillRate()) >= 6)
}

func TestRollingMaxExpires(t *testing.T) {
	is := is.New(t)
	var m RollingMax
	at := time.Unix(1000, 0)
	is.Equal(m.Add(20, at), 20)
	is.Equal(m.Add(8, at.Add(peakWindow/2)), 20)
	is.Equal(m.Add(6, at.Add(peakWindow+time.Second)), 8)
	is.Equal(m.Add(6, at.Add(3*peakWindow)), 6)
}
