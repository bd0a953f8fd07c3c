package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/ports"
)

func (b *builder) byPriority() []*Need {
	return slices.SortedFunc(maps.Values(b.needs), func(x, y *Need) int {
		return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(x.Model, y.Model))
	})
}

func (n *Need) all() map[string]int {
	out := maps.Clone(n.Ready)
	for d, c := range n.Pending {
		out[d] += c
	}
	return out
}

// fill adds servers to a model until any one failure domain may go.
func (b *builder) fill(n *Need) {
	if n.Servers == 0 {
		return
	}
	for ServersAfterDomainLoss(n.all(), b.in.Params.SpreadDomains) < n.Servers {
		domain, ok := b.place(n)
		if !ok {
			return
		}
		n.Pending[domain]++
	}
}

// place finds one more server: an engine that holds nothing, a new VM, or an
// engine of a model of lower priority; always in the emptiest domain that has one.
func (b *builder) place(n *Need) (string, bool) {
	domains := b.domainsFor(n)
	for _, d := range domains {
		if e := b.idle(d); e != nil {
			e.model = n.Model
			b.load(e, n.Model)
			return d, true
		}
	}
	for _, d := range domains {
		if o, ok := b.offer(n, d); ok {
			b.buy(n, o)
			return d, true
		}
	}
	for _, d := range domains {
		if e := b.yielding(n, d); e != nil {
			lower := b.needs[e.model]
			lower.Ready[d]--
			b.out.Unload = append(b.out.Unload, EngineOrder{VM: e.vm.Name, Addr: e.vm.Address, Model: engine.LoadedModel{Name: e.model}})
			e.model = n.Model
			b.load(e, n.Model)
			return d, true
		}
	}
	return "", false
}

// domainsFor lists the failure domains that may take one more server of the
// model, those with the fewest first.
func (b *builder) domainsFor(n *Need) []string {
	have := n.all()
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
	slices.SortStableFunc(out, func(x, y string) int { return have[x] - have[y] })
	most, total := 0, 0
	for _, c := range have {
		most = max(most, c)
		total += c
	}
	below := slices.DeleteFunc(slices.Clone(out), func(d string) bool { return have[d] >= most })
	// One more in the fullest domain helps only when another follows it, or
	// while there are not enough servers at all.
	if total < n.Servers || total < 2*n.Servers && b.takers(n, out) > 1 {
		return append(below, slices.DeleteFunc(out, func(d string) bool { return have[d] < most })...)
	}
	return below
}

// takers counts the domains that could take one more server now.
func (b *builder) takers(n *Need, domains []string) int {
	count := 0
	for _, d := range domains {
		if _, ok := b.offer(n, d); ok || b.idle(d) != nil {
			count++
		}
	}
	return count
}

func (b *builder) sorted() []*engineVM {
	return slices.SortedFunc(maps.Values(b.engines), func(x, y *engineVM) int { return cmp.Compare(x.vm.Name, y.vm.Name) })
}

func (b *builder) idle(domain string) *engineVM {
	for _, e := range b.sorted() {
		if e.model == "" && e.vm.FailureDomain == domain {
			if _, answered := b.in.Engines[e.vm.Name]; answered {
				return e
			}
		}
	}
	return nil
}

// offer is the best VM to buy in a domain, by price and by what its loss
// would cost: the more latency counts, the more a likely reclaim weighs.
func (b *builder) offer(n *Need, domain string) (ports.Offer, bool) {
	if len(b.intents) >= b.in.Params.MaxVMs {
		return ports.Offer{}, false
	}
	class := b.in.Catalog.Models[n.Model].Model.Class
	var fits []ports.Offer
	for _, o := range b.in.Offers {
		at, refused := b.in.Refused[OfferKeyOf(o)]
		if o.FailureDomain != domain || class != "" && o.Class != class || b.in.Params.OnDemand && o.Reclaimable {
			continue
		}
		if refused && b.in.Now.Sub(at) < refusedFor {
			n.refuse(o)
			continue
		}
		fits = append(fits, o)
	}
	if len(fits) == 0 {
		return ports.Offer{}, false
	}
	return slices.MinFunc(fits, func(x, y ports.Offer) int {
		return cmp.Or(cmp.Compare(Score(x, n.CostWeight), Score(y, n.CostWeight)), cmp.Compare(x.Class, y.Class))
	}), true
}

// Score is the hourly price of an offer with the risk of its loss counted in.
func Score(o ports.Offer, costWeight float64) float64 {
	lossesPerHour := o.ReclaimPerDay / hoursPerDay
	return o.HourPrice * (1 + lossesPerHour*lossCost*hoursPerDay*(1-costWeight))
}

func (n *Need) refuse(o ports.Offer) {
	kind := "on-demand"
	if o.Reclaimable {
		kind = "reclaimable"
	}
	why := "the cloud refuses " + kind + " " + o.Class + " in " + o.FailureDomain
	if !slices.Contains(n.Refused, why) {
		n.Refused = append(n.Refused, why)
	}
}

func (b *builder) buy(n *Need, o ports.Offer) {
	i := Intent{Name: b.freeName(n.Model, o.FailureDomain), Model: n.Model, Offer: o, SinceMS: b.in.Now.UnixMilli()}
	b.intents[i.Name] = i
	b.out.Buy = append(b.out.Buy, i)
}

// freeName is a name that no VM had before, living or not.
func (b *builder) freeName(model, domain string) string {
	used := map[string]bool{}
	for _, vm := range b.in.VMs {
		used[vm.Name] = true
	}
	stamp := b.in.Now.UnixMilli()
	for k := int64(0); ; k++ {
		name := b.in.Params.Prefix + "-" + model + "-" + domain + "-" + base36(stamp+k)
		if _, taken := b.intents[name]; !taken && !used[name] {
			return name
		}
	}
}

// yielding is an engine of a model of lower priority in the domain.
func (b *builder) yielding(n *Need, domain string) *engineVM {
	var best *engineVM
	for _, e := range b.sorted() {
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
