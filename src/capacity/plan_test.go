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

func scalingOf(domains, most int) traffic.Scaling {
	s := traffic.Scaling{Min: 1, Max: most, Boot: 4 * time.Second, SpotPrice: 0.15, DomainPrices: map[string]float64{}}
	for i := range domains {
		name := fmt.Sprintf("d%d", i)
		s.SortedDomains = append(s.SortedDomains, name)
		s.DomainPrices[name] = 1 + float64(i)/10
	}
	return s
}

func totals(orders []duty.Order) (onDemand, spot int) {
	for _, o := range orders {
		if o.Spot {
			spot += o.Count
		} else {
			onDemand += o.Count
		}
	}
	return onDemand, spot
}

func TestPlanCoversTheNeedWithinTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 7).Draw(t, "domains")
		most := rapid.IntRange(2, 12).Draw(t, "most in a domain")
		scaling := scalingOf(domains, most)
		supply := map[string]Supply{}
		for _, name := range scaling.SortedDomains {
			supply[name] = Supply{OnDemand: rapid.IntRange(0, most).Draw(t, "on demand"), Spot: rapid.IntRange(0, most).Draw(t, "spot")}
		}
		need := rapid.IntRange(1, domains*most).Draw(t, "need")
		orders := Plan("s", scaling, Need{Servers: need}, supply)
		serving := 0
		for _, o := range orders {
			if o.Count < 0 || o.Count > most {
				t.Fatalf("order %+v", o)
			}
			if o.Spot {
				serving += min(supply[o.FailureDomain].Spot, o.Count)
			} else {
				serving += o.Count
			}
		}
		if serving < need && serving < domains*most {
			t.Fatalf("%d servers would serve, %d are needed", serving, need)
		}
	})
}

func TestOnDemandServersFillWhatIsTakenAwayAndLeaveAgain(t *testing.T) {
	is := is.New(t)
	scaling := scalingOf(4, 10)
	all := map[string]Supply{}
	for _, o := range Plan("s", scaling, Need{Servers: 20}, nil) {
		if o.Spot {
			all[o.FailureDomain] = Supply{Spot: o.Count}
		}
	}
	calm, spot := totals(Plan("s", scaling, Need{Servers: 20}, all))
	is.Equal(calm, 4)  // the floor
	is.Equal(spot, 21) // the rest and the hedge
	all["d0"] = Supply{}
	oneLost, _ := totals(Plan("s", scaling, Need{Servers: 20}, all))
	is.Equal(oneLost, 5) // the hedge makes up for nearly all of one domain
	all["d1"], all["d2"], all["d3"] = Supply{}, Supply{}, Supply{}
	allLost, still := totals(Plan("s", scaling, Need{Servers: 20}, all))
	is.Equal(allLost, 20)
	is.Equal(still, spot) // asked for all the while
}

func TestStandingDoesNotGrowFromRestartToRestart(t *testing.T) {
	is := is.New(t)
	scaling := scalingOf(4, 10)
	need := 20
	for range 5 { // each time, all holders are lost and the demand is not known
		onDemand, spot := totals(Plan("s", scaling, Need{Servers: need}, map[string]Supply{"d0": {Spot: 10}, "d1": {Spot: 10}, "d2": {Spot: 10}, "d3": {Spot: 10}}))
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

func TestNeedHoldsThoughSomePromptsAreReadAtOnce(t *testing.T) {
	is := is.New(t)
	var m DemandMeter
	for i := range 300 {
		took := 100 * time.Millisecond // 40,000 a second
		if i%10 == 0 {
			took = 5 * time.Millisecond // kept in memory from an earlier request
		}
		m.RecordPrefill(4000, took)
	}
	is.True(m.PrefillRate() > 25000 && m.PrefillRate() < 90000)
	is.True(RequiredServers(150000, 30, 64, m.PrefillRate()) >= 6)
}

func TestPeakHoldsAndLetsGo(t *testing.T) {
	is := is.New(t)
	var p RollingMax
	at := time.Unix(1000, 0)
	is.Equal(p.Add(20, at), 20)
	is.Equal(p.Add(8, at.Add(peakFor/2)), 20)
	is.Equal(p.Add(6, at.Add(peakFor+time.Second)), 8)
	is.Equal(p.Add(6, at.Add(3*peakFor)), 6)
}
