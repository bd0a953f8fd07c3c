// Package capacity decides how many servers of a scalable service to have in
// each failure domain: reclaimable ones while they can be had, on-demand ones
// beneath them and in their place when they are taken away.
package capacity

import (
	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/traffic"
)

// Need is how many servers of a service each failure domain shall have.
type Need struct {
	Total int // servers that serve, of either kind
	Floor int // on-demand ones that stay whatever reclaimable ones there are
}

// Supply is what a failure domain has, as listed.
type Supply struct {
	OnDemand int
	Spot     int // reclaimable ones that are not leaving
}

// SupplyOf counts the servers that serve, by failure domain.
func SupplyOf(servers []traffic.Server) map[string]Supply {
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

// Plan returns the orders that give each failure domain what it needs. The
// reclaimable part is always asked for; on-demand servers fill what of it is
// not there, and leave again when it is.
func Plan(service string, scaling traffic.Scaling, need Need, supply map[string]Supply) []duty.Order {
	var out []duty.Order
	for _, domain := range scaling.DomainsOrdered {
		have := supply[domain]
		floor := min(max(need.Floor, 0), scaling.Max)
		spot := max(min(need.Total, scaling.Max)-floor, 0)
		onDemand := max(min(need.Total-min(have.Spot, spot), scaling.Max), floor)
		out = append(out,
			duty.Order{Service: service, FailureDomain: domain, Count: spot, Spot: true},
			duty.Order{Service: service, FailureDomain: domain, Count: onDemand},
		)
	}
	return out
}
