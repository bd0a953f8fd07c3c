// Package capacity decides how many servers of a scalable service to have in
// each failure domain: reclaimable ones while they can be had, a few on-demand
// ones beneath them, and more of these in the place of what is taken away.
package capacity

import (
	"cmp"
	"slices"

	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/traffic"
)

// Parts of what is needed.
const (
	floorPart = 0.2  // on-demand servers that stay whatever reclaimable ones there are
	hedgePart = 0.25 // reclaimable servers beyond the need: about what one failure domain may lose
)

// Supply is what a failure domain has, as listed.
type Supply struct {
	OnDemand int
	Spot     int // reclaimable ones that are not leaving
}

// SupplyOf counts the servers that serve, by failure domain.
func SupplyOf(servers []traffic.Upstream) map[string]Supply {
	out := map[string]Supply{}
	for _, s := range servers {
		if s.Draining {
			continue
		}
		have := out[s.FailureDomain]
		if s.Spot {
			have.Spot++
		} else {
			have.OnDemand++
		}
		out[s.FailureDomain] = have
	}
	return out
}

// Standing is the need that the servers that are there were bought for. At the
// first start of the system they were not bought by a plan.
func InferredNeed(servers []traffic.Upstream, first bool) int {
	serving := 0
	for _, s := range servers {
		if !s.Draining {
			serving++
		}
	}
	if first {
		return serving
	}
	return int(float64(serving) / (1 + hedgePart))
}

// Need is how many servers a service shall have in all.
type Need struct {
	Servers int
	// SpotComing says that reclaimable servers were ordered just now and that
	// nothing needs them yet: no on-demand ones are kept or bought in their place.
	SpotPending bool
}

// Plan returns the orders that give a service what it needs: reclaimable
// servers evenly over the failure domains, and on-demand ones in the cheapest.
func Plan(service string, scaling traffic.Scaling, need Need, supply map[string]Supply) []duty.Order {
	domains := byPrice(scaling)
	if len(domains) == 0 {
		return nil
	}
	most := len(domains) * scaling.Max
	servers := min(max(need.Servers, len(domains)*max(scaling.Min, 1)), most)
	floor := max(ceil(float64(servers)*floorPart), min(2, servers))
	spotWanted := ceil(float64(servers-floor) + float64(servers)*hedgePart)
	spot := spread(spotWanted, domains, func(string) int { return scaling.Max })
	extra := 0
	if !need.SpotPending {
		ready := 0
		for _, domain := range domains {
			ready += min(supply[domain].Spot, spot[domain])
		}
		extra = max(servers-floor-ready, 0)
	}
	onDemand := spread(floor+extra, domains, func(domain string) int { return scaling.Max - min(supply[domain].Spot, spot[domain]) })
	var out []duty.Order
	for _, domain := range domains {
		out = append(out,
			duty.Order{Service: service, FailureDomain: domain, Count: spot[domain], Spot: true},
			duty.Order{Service: service, FailureDomain: domain, Count: onDemand[domain]},
		)
	}
	return out
}

func ceil(x float64) int {
	whole := int(x)
	if x > float64(whole) {
		whole++
	}
	return whole
}

// byPrice returns the failure domains, the cheapest first.
func byPrice(scaling traffic.Scaling) []string {
	domains := slices.Clone(scaling.SortedDomains)
	slices.SortStableFunc(domains, func(a, b string) int {
		return cmp.Compare(scaling.DomainPrices[a], scaling.DomainPrices[b])
	})
	return domains
}

// spread deals a number out one by one over the domains in their order, none
// getting more than it has room for.
func spread(count int, domains []string, room func(string) int) map[string]int {
	out := make(map[string]int, len(domains))
	for count > 0 {
		before := count
		for _, domain := range domains {
			if count > 0 && out[domain] < room(domain) {
				out[domain]++
				count--
			}
		}
		if count == before {
			break
		}
	}
	return out
}
