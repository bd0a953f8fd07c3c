package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/ports"
)

func (b *builder) needsByPriority() []*Need {
	return slices.SortedFunc(maps.Values(b.needs), func(x, y *Need) int {
		return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(x.Model, y.Model))
	})
}

func (n *Need) serversByDomain() map[string]int {
	out := maps.Clone(n.Ready)
	for d, c := range n.Pending {
		out[d] += c
	}
	return out
}

// addServers adds servers to a model until its need is met even without any one
// failure domain.
func (b *builder) addServers(n *Need) {
	if n.Servers == 0 {
		return
	}
	for ServersAfterDomainLoss(n.serversByDomain(), b.in.Params.SpreadDomains) < n.Servers {
		domain, ok := b.placeServer(n)
		if !ok {
			return
		}
		n.Pending[domain]++
	}
}

// placeServer adds one server: an idle engine, a new VM, or an engine of a model
// of lower priority, in this order. Domains with the fewest servers come first.
func (b *builder) placeServer(n *Need) (string, bool) {
	domains := b.domainsFor(n)
	for _, d := range domains {
		if e := b.idleEngine(d); e != nil {
			e.model = n.Model
			b.load(e, n.Model)
			return d, true
		}
	}
	for _, d := range domains {
		if o, ok := b.bestOffer(n, d); ok {
			b.buy(n, o)
			return d, true
		}
	}
	for _, d := range domains {
		if e := b.preemptibleEngine(n, d); e != nil {
			preempted := b.needs[e.model]
			preempted.Ready[d]--
			b.out.Unload = append(b.out.Unload, EngineOrder{VM: e.vm.Name, Addr: e.vm.Address, Model: engine.LoadedModel{Name: e.model}})
			e.model = n.Model
			b.load(e, n.Model)
			return d, true
		}
	}
	return "", false
}

// domainsFor returns the failure domains in which one more server of the model
// is useful, those with the fewest servers first.
func (b *builder) domainsFor(n *Need) []string {
	servers := n.serversByDomain()
	set := map[string]bool{}
	for _, o := range b.in.Offers {
		set[o.FailureDomain] = true
	}
	for _, e := range b.engines {
		set[e.vm.FailureDomain] = true
	}
	out := slices.Sorted(maps.Keys(set))
	if !b.in.Params.SpreadDomains {
		return out
	}
	slices.SortStableFunc(out, func(x, y string) int { return servers[x] - servers[y] })
	maxServers, total := 0, 0
	for _, c := range servers {
		maxServers = max(maxServers, c)
		total += c
	}
	below := slices.DeleteFunc(slices.Clone(out), func(d string) bool { return servers[d] >= maxServers })
	// One more server in the domain with the most servers is useful only if
	// another domain can get one too, or if there are too few servers in total.
	// 2*n.Servers in total are enough in any case: n.Servers in each of two domains.
	if total < n.Servers || total < 2*n.Servers && b.availableDomains(n, out) > 1 {
		return append(below, slices.DeleteFunc(out, func(d string) bool { return servers[d] < maxServers })...)
	}
	return below
}

// availableDomains counts the domains that have an idle engine or an offer.
func (b *builder) availableDomains(n *Need, domains []string) int {
	count := 0
	for _, d := range domains {
		if _, ok := b.bestOffer(n, d); ok || b.idleEngine(d) != nil {
			count++
		}
	}
	return count
}

func (b *builder) sortedEngines() []*engineVM {
	return slices.SortedFunc(maps.Values(b.engines), func(x, y *engineVM) int { return cmp.Compare(x.vm.Name, y.vm.Name) })
}

func (b *builder) idleEngine(domain string) *engineVM {
	for _, e := range b.sortedEngines() {
		if e.model == "" && e.vm.FailureDomain == domain {
			if _, answered := b.in.Engines[e.vm.Name]; answered {
				return e
			}
		}
	}
	return nil
}

// bestOffer returns the offer with the lowest Score in a domain. It skips offers
// that were refused within refusalBackoff and adds them to n.Refused.
func (b *builder) bestOffer(n *Need, domain string) (ports.Offer, bool) {
	if len(b.intents) >= b.in.Params.MaxVMs {
		return ports.Offer{}, false
	}
	class := b.in.Catalog.Models[n.Model].Model.Class
	var offers []ports.Offer
	for _, o := range b.in.Offers {
		at, refused := b.in.Refused[OfferKeyOf(o)]
		if o.FailureDomain != domain || class != "" && o.Class != class || b.in.Params.OnDemand && o.Reclaimable {
			continue
		}
		if refused && b.in.Now.Sub(at) < refusalBackoff {
			n.addRefusal(o)
			continue
		}
		offers = append(offers, o)
	}
	if len(offers) == 0 {
		return ports.Offer{}, false
	}
	return slices.MinFunc(offers, func(x, y ports.Offer) int {
		return cmp.Or(cmp.Compare(Score(x, n.CostWeight), Score(y, n.CostWeight)), cmp.Compare(x.Class, y.Class))
	}), true
}

// Score returns the hourly price of an offer plus the expected cost of losing
// the VM. The expected cost counts more the lower the cost weight is.
func Score(o ports.Offer, costWeight float64) float64 {
	lossesPerHour := o.ReclaimPerDay / hoursPerDay
	return o.HourPrice * (1 + lossesPerHour*lossCostDays*hoursPerDay*(1-costWeight))
}

func (n *Need) addRefusal(o ports.Offer) {
	kind := "on-demand"
	if o.Reclaimable {
		kind = "reclaimable"
	}
	reason := "the cloud refuses " + kind + " " + o.Class + " in " + o.FailureDomain
	if !slices.Contains(n.Refused, reason) {
		n.Refused = append(n.Refused, reason)
	}
}

func (b *builder) buy(n *Need, o ports.Offer) {
	i := Intent{Name: b.newVMName(n.Model, o.FailureDomain), Model: n.Model, Offer: o, SinceMS: b.in.Now.UnixMilli()}
	b.intents[i.Name] = i
	b.out.Buy = append(b.out.Buy, i)
}

// newVMName returns a name that no listed or intended VM has.
func (b *builder) newVMName(model, domain string) string {
	used := map[string]bool{}
	for _, vm := range b.in.VMs {
		used[vm.Name] = true
	}
	nowMS := b.in.Now.UnixMilli()
	for k := int64(0); ; k++ {
		name := b.in.Params.Prefix + "-" + model + "-" + domain + "-" + base36(nowMS+k)
		if _, taken := b.intents[name]; !taken && !used[name] {
			return name
		}
	}
}

// preemptibleEngine returns the engine in the domain whose model has the lowest
// priority, or nil if no model there has a lower priority than n.
func (b *builder) preemptibleEngine(n *Need, domain string) *engineVM {
	var best *engineVM
	for _, e := range b.sortedEngines() {
		other := b.needs[e.model]
		if e.vm.FailureDomain != domain || other == nil || other.Priority >= n.Priority || !e.loaded {
			continue
		}
		if best == nil || other.Priority < b.needs[best.model].Priority {
			best = e
		}
	}
	return best
}
