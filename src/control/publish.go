package control

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/event"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/plan"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/upstream"
)

// publish stores the upstream list of each failure domain that changed, and
// the list of entry VMs that run no more.
func (p *planner) publish(ctx context.Context, epoch int64, vms []ports.VM, intents []plan.Intent) error {
	released := map[string]int64{}
	for _, i := range intents {
		if i.ReleaseMS > 0 {
			released[i.Name] = i.ReleaseMS
		}
	}
	domains := map[string]*upstream.DomainUpstreams{}
	for _, it := range p.view.List(upstream.Prefix) {
		domains[it.Key[len(upstream.Prefix):]] = &upstream.DomainUpstreams{}
	}
	gone := []string{}
	for _, vm := range vms {
		if vm.Role == "entry" && vm.State == ports.VMTerminated {
			gone = append(gone, vm.ID)
		}
		if pub, ok := p.published(vm, released[vm.Name]); ok {
			if domains[vm.FailureDomain] == nil {
				domains[vm.FailureDomain] = &upstream.DomainUpstreams{}
			}
			domains[vm.FailureDomain].Upstreams = append(domains[vm.FailureDomain].Upstreams, pub)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if err := p.storeIfNew(ctx, epoch, upstream.Prefix+name, domains[name].Encode()); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(gone)
	if err != nil || len(gone) == 0 {
		return err
	}
	return p.storeIfNew(ctx, epoch, member.TerminatedVMsKey, raw)
}

func (p *planner) published(vm ports.VM, released int64) (upstream.Published, bool) {
	pub := upstream.Published{
		Name: vm.Name, VM: vm.ID, Addr: vm.Address, FailureDomain: vm.FailureDomain, Region: vm.Region, LeavingMS: max(vm.DeadlineMS, released),
	}
	if vm.Address == "" || vm.State != ports.VMRunning && vm.State != ports.VMLeaving {
		return pub, false
	}
	switch vm.Role {
	case "service":
		pub.Kind, pub.Service = upstream.KindService, vm.Service
		return pub, true
	case "engine":
		s, ok := p.states[vm.Name]
		pub.Kind, pub.Models, pub.Slots, pub.PrefillTPS, pub.KVTransferTPS = upstream.KindEngine, s.Models, s.Slots, s.PrefillTPS, p.set.Planner.MoveTPS
		slices.SortFunc(pub.Models, func(a, b engine.LoadedModel) int { return strings.Compare(a.Name, b.Name) })
		// An engine that does not answer now keeps what was published of it.
		if !ok || s.failed && len(s.Models) == 0 {
			return p.lastPublished(vm, pub)
		}
		if s.LeavingMS > 0 && pub.LeavingMS == 0 {
			pub.LeavingMS = s.LeavingMS
		}
		return pub, true
	}
	return pub, false
}

func (p *planner) lastPublished(vm ports.VM, now upstream.Published) (upstream.Published, bool) {
	it, ok := p.view.Get(upstream.Prefix + vm.FailureDomain)
	if !ok {
		return now, false
	}
	d, err := upstream.DecodeDomainUpstreams(it.Value)
	i := slices.IndexFunc(d.Upstreams, func(u upstream.Published) bool { return u.Name == vm.Name && u.Addr == vm.Address })
	if err != nil || i < 0 {
		return now, false
	}
	last := d.Upstreams[i]
	last.LeavingMS = now.LeavingMS
	return last, true
}

// storeIfNew writes a value that differs from what the view holds. Losing the
// race is no error: the next round sees what won.
func (p *planner) storeIfNew(ctx context.Context, epoch int64, key string, raw []byte) error {
	it, ok := p.view.Get(key)
	if ok && string(it.Value) == string(raw) {
		return nil
	}
	if err := p.still(epoch); err != nil {
		return err
	}
	if !ok {
		it.Revision = 0
	}
	_, err := p.kv.PutIf(ctx, key, raw, it.Revision, 0)
	return err
}

// tellEvents stores the status of each event that changed.
func (p *planner) tellEvents(ctx context.Context, epoch int64, in plan.Input, res plan.Result) error {
	services := map[string]int{}
	for _, vm := range in.VMs {
		if vm.Role == "service" && vm.State == ports.VMRunning {
			services[vm.Service]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(in.Catalog.Events)) {
		ev := in.Catalog.Events[name]
		var old event.Status
		if it, ok := p.view.Get(event.Prefix + name); ok {
			old, _ = event.Decode(it.Value)
		}
		next, changed := event.Next(old, name, ev.Version, plan.EventFacts(ev, in, res, services))
		if !changed {
			continue
		}
		if next.Phase != old.Phase {
			p.journal.Add(name, "phase "+string(next.Phase), strings.Join(next.Reasons, "; "))
			klog.InfoS("event", "name", name, "phase", next.Phase, "reasons", strings.Join(next.Reasons, "; "))
		}
		if err := p.storeIfNew(ctx, epoch, event.Prefix+name, next.Encode()); err != nil {
			return err
		}
	}
	return p.dropStatuses(ctx, epoch, in.Catalog)
}

// dropStatuses removes the statuses of events that were deleted.
func (p *planner) dropStatuses(ctx context.Context, epoch int64, snap *catalog.Snapshot) error {
	for _, it := range p.view.List(event.Prefix) {
		if _, ok := snap.Events[it.Key[len(event.Prefix):]]; ok {
			continue
		}
		if err := p.still(epoch); err != nil {
			return err
		}
		if _, err := p.kv.DeleteIf(ctx, it.Key, it.Revision); err != nil {
			return err
		}
	}
	return nil
}
