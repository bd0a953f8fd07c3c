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

// publishUpstreams writes the upstream lists of the failure domains that changed,
// and the list of terminated entry VMs.
func (p *planner) publishUpstreams(ctx context.Context, epoch int64, vms []ports.VM, intents []plan.Intent) error {
	releaseMS := map[string]int64{}
	for _, i := range intents {
		if i.ReleaseMS > 0 {
			releaseMS[i.Name] = i.ReleaseMS
		}
	}
	domains := map[string]*upstream.DomainUpstreams{}
	for _, it := range p.view.List(upstream.Prefix) {
		domains[it.Key[len(upstream.Prefix):]] = &upstream.DomainUpstreams{}
	}
	terminated := []string{}
	for _, vm := range vms {
		if vm.Role == "entry" && vm.State == ports.VMTerminated {
			terminated = append(terminated, vm.ID)
		}
		if pub, ok := p.publishedUpstream(vm, releaseMS[vm.Name]); ok {
			if domains[vm.FailureDomain] == nil {
				domains[vm.FailureDomain] = &upstream.DomainUpstreams{}
			}
			domains[vm.FailureDomain].Upstreams = append(domains[vm.FailureDomain].Upstreams, pub)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(domains)) {
		if err := p.putIfChanged(ctx, epoch, upstream.Prefix+name, domains[name].Encode()); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(terminated)
	if err != nil || len(terminated) == 0 {
		return err
	}
	return p.putIfChanged(ctx, epoch, member.TerminatedVMsKey, raw)
}

func (p *planner) publishedUpstream(vm ports.VM, releaseMS int64) (upstream.Published, bool) {
	pub := upstream.Published{
		Name: vm.Name, VM: vm.ID, Addr: vm.Address, FailureDomain: vm.FailureDomain, Region: vm.Region, LeavingMS: max(vm.DeadlineMS, releaseMS),
	}
	if vm.Address == "" || vm.State != ports.VMRunning && vm.State != ports.VMLeaving {
		return pub, false
	}
	switch vm.Role {
	case "service":
		pub.Kind, pub.Service = upstream.KindService, vm.Service
		return pub, true
	case "engine":
		s, ok := p.engineStates[vm.Name]
		pub.Kind, pub.Models, pub.Slots, pub.PrefillTPS, pub.KVTransferTPS = upstream.KindEngine, s.Models, s.Slots, s.PrefillTPS, p.cfg.Planner.KVTransferTPS
		slices.SortFunc(pub.Models, func(a, b engine.LoadedModel) int { return strings.Compare(a.Name, b.Name) })
		// An unreachable engine stays published with its last known state.
		if !ok || s.failed && len(s.Models) == 0 {
			return p.lastPublishedUpstream(vm, pub)
		}
		if s.LeavingMS > 0 && pub.LeavingMS == 0 {
			pub.LeavingMS = s.LeavingMS
		}
		return pub, true
	}
	return pub, false
}

func (p *planner) lastPublishedUpstream(vm ports.VM, fallback upstream.Published) (upstream.Published, bool) {
	it, ok := p.view.Get(upstream.Prefix + vm.FailureDomain)
	if !ok {
		return fallback, false
	}
	d, err := upstream.DecodeDomainUpstreams(it.Value)
	i := slices.IndexFunc(d.Upstreams, func(u upstream.Published) bool { return u.Name == vm.Name && u.Addr == vm.Address })
	if err != nil || i < 0 {
		return fallback, false
	}
	last := d.Upstreams[i]
	last.LeavingMS = fallback.LeavingMS
	return last, true
}

// putIfChanged writes raw if it differs from the value in the view. A lost
// compare-and-swap is not an error: the next round reads the newer value.
func (p *planner) putIfChanged(ctx context.Context, epoch int64, key string, raw []byte) error {
	it, ok := p.view.Get(key)
	if ok && string(it.Value) == string(raw) {
		return nil
	}
	if err := p.checkLease(epoch); err != nil {
		return err
	}
	if !ok {
		it.Revision = 0
	}
	_, err := p.kv.PutIf(ctx, key, raw, it.Revision, 0)
	return err
}

// updateEventStatuses writes the status of each event whose status changed.
func (p *planner) updateEventStatuses(ctx context.Context, epoch int64, in plan.Input, res plan.Result) error {
	serversByService := map[string]int{}
	for _, vm := range in.VMs {
		if vm.Role == "service" && vm.State == ports.VMRunning {
			serversByService[vm.Service]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(in.Catalog.Events)) {
		ev := in.Catalog.Events[name]
		var old event.Status
		if it, ok := p.view.Get(event.Prefix + name); ok {
			old, _ = event.Decode(it.Value)
		}
		next, changed := event.Next(old, name, ev.Version, plan.EventFacts(ev, in, res, serversByService))
		if !changed {
			continue
		}
		if next.Phase != old.Phase {
			p.journal.Add(name, "phase "+string(next.Phase), strings.Join(next.Reasons, "; "))
			klog.InfoS("event", "name", name, "phase", next.Phase, "reasons", strings.Join(next.Reasons, "; "))
		}
		if err := p.putIfChanged(ctx, epoch, event.Prefix+name, next.Encode()); err != nil {
			return err
		}
	}
	return p.deleteStaleStatuses(ctx, epoch, in.Catalog)
}

// deleteStaleStatuses deletes the statuses of events that no longer exist.
func (p *planner) deleteStaleStatuses(ctx context.Context, epoch int64, snap *catalog.Snapshot) error {
	for _, it := range p.view.List(event.Prefix) {
		if _, ok := snap.Events[it.Key[len(event.Prefix):]]; ok {
			continue
		}
		if err := p.checkLease(epoch); err != nil {
			return err
		}
		if _, err := p.kv.DeleteIf(ctx, it.Key, it.Revision); err != nil {
			return err
		}
	}
	return nil
}
