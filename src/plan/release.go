package plan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/crankridge/crankridge/src/ports"
)

// release marks bought VMs that are not needed as released, so that they get no
// new work, and terminates them releaseGrace later, when their streams have had
// time to end.
func (b *builder) release() {
	for _, i := range b.sortedIntents() {
		if i.ReleaseMS == 0 {
			continue
		}
		if b.in.Now.UnixMilli() >= i.ReleaseMS+releaseGrace.Milliseconds() {
			b.out.Terminate = append(b.out.Terminate, i.Name)
			if b.isGone(i.Name) {
				delete(b.intents, i.Name)
			}
		}
	}
	for _, n := range b.needsByPriority() {
		b.releaseSurplus(n)
	}
}

func (b *builder) isGone(name string) bool {
	return !slices.ContainsFunc(b.in.VMs, func(vm ports.VM) bool {
		return vm.Name == name && vm.State != ports.VMTerminated
	})
}

// releaseSurplus marks VMs of a model as released, the most expensive first, while the
// remaining ones meet its need.
func (b *builder) releaseSurplus(n *Need) {
	for {
		best := ""
		for _, i := range b.sortedIntents() {
			e := b.engines[i.Name]
			if i.Model != n.Model || i.ReleaseMS > 0 || e == nil || !e.loaded {
				continue
			}
			remaining := maps.Clone(n.Ready)
			remaining[i.Offer.FailureDomain]--
			if ServersAfterDomainLoss(remaining, b.in.Params.SpreadDomains) >= n.Servers && (best == "" || i.Offer.HourPrice > b.intents[best].Offer.HourPrice) {
				best = i.Name
			}
		}
		if best == "" {
			return
		}
		i := b.intents[best]
		i.ReleaseMS = b.in.Now.UnixMilli()
		b.intents[best] = i
		n.Ready[i.Offer.FailureDomain]--
		delete(b.engines, best)
	}
}

func (b *builder) sortedIntents() []Intent {
	return slices.SortedFunc(maps.Values(b.intents), func(x, y Intent) int { return cmp.Compare(x.Name, y.Name) })
}

func (b *builder) finish() {
	b.out.Intents = b.sortedIntents()
	slices.Sort(b.out.Terminate)
}
