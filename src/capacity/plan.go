// Package capacity plans how many servers of a scalable service to run in each
// failure domain: a base of on-demand servers, reclaimable (spot) servers for
// the rest, and further on-demand servers in place of missing spot servers.
package capacity

import (
	"cmp"
	"slices"

	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/traffic"
)

const (
	onDemandFraction = 0.2  // on-demand servers that are always kept, as a fraction of the need
	spotHeadroom     = 0.25 // extra spot servers, as a fraction of the need, to cover the loss of a failure domain
)

// Supply counts the running servers of a failure domain.
type Supply struct {
	OnDemand int
	Spot     int
}

// SupplyOf counts, by failure domain, the servers that are not draining.
func SupplyOf(servers []traffic.Upstream) map[string]Supply {
	out := map[string]Supply{}
	for _, s := range servers {
		if s.Draining {
			continue
		}
		supply := out[s.FailureDomain]
		if s.Spot {
			supply.Spot++
		} else {
			supply.OnDemand++
		}
		out[s.FailureDomain] = supply
	}
	return out
}

// InferredNeed estimates the need from the servers that are running. They include
// the spot headroom, which Plan adds again, except at the first start of the
// system. Dividing by it keeps restarts from ordering more and more servers.
func InferredNeed(servers []traffic.Upstream, firstStart bool) int {
	serving := 0
	for _, s := range servers {
		if !s.Draining {
			serving++
		}
	}
	if firstStart {
		return serving
	}
	return int(float64(serving) / (1 + spotHeadroom))
}

// Need is the total number of servers that a service needs.
type Need struct {
	Servers int
	// SpotPending is true while ordered spot servers are booting and there is no
	// demand yet: no on-demand servers replace them.
	SpotPending bool
}

// Plan returns the orders for a service: spot servers spread evenly over the
// failure domains, and on-demand servers within the remaining limits. The
// cheapest domains come first. The need is raised to scaling.Min servers per
// domain, or 1 per domain if Min is 0, and at least two of them are on-demand.
func Plan(service string, scaling traffic.Scaling, need Need, supply map[string]Supply) []duty.Order {
	domains := domainsByPrice(scaling)
	if len(domains) == 0 {
		return nil
	}
	maxServers := len(domains) * scaling.Max
	servers := min(max(need.Servers, len(domains)*max(scaling.Min, 1)), maxServers)
	onDemandBase := max(ceil(float64(servers)*onDemandFraction), min(2, servers))
	spotCount := ceil(float64(servers-onDemandBase) + float64(servers)*spotHeadroom)
	spot := distribute(spotCount, domains, func(string) int { return scaling.Max })
	extra := 0
	if !need.SpotPending {
		running := 0
		for _, domain := range domains {
			running += min(supply[domain].Spot, spot[domain])
		}
		extra = max(servers-onDemandBase-running, 0)
	}
	onDemand := distribute(onDemandBase+extra, domains, func(domain string) int { return scaling.Max - min(supply[domain].Spot, spot[domain]) })
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

// domainsByPrice returns the failure domains, cheapest first.
func domainsByPrice(scaling traffic.Scaling) []string {
	domains := slices.Clone(scaling.SortedDomains)
	slices.SortStableFunc(domains, func(a, b string) int {
		return cmp.Compare(scaling.DomainPrices[a], scaling.DomainPrices[b])
	})
	return domains
}

// distribute assigns count servers round-robin to the domains, none getting more
// than its limit.
func distribute(count int, domains []string, limit func(string) int) map[string]int {
	out := make(map[string]int, len(domains))
	for count > 0 {
		before := count
		for _, domain := range domains {
			if count > 0 && out[domain] < limit(domain) {
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
