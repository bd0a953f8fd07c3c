package plan

import (
	"maps"
	"slices"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/ports"
)

// engineVM is a running engine VM that is neither leaving nor released. Its engine
// may not have answered yet.
type engineVM struct {
	vm      ports.VM
	model   string // loaded, loading or planned model; empty if idle
	loaded  bool   // the configured version of model is loaded
	managed bool   // bought by the planner
}

// countServers matches VMs, intents and engine states, and counts the ready and
// pending servers of each model. It also adds the actions that follow from them
// alone: buying the VMs of intents that are not listed, terminating orphans (bought
// VMs without an intent), and loading the models that engines should have.
func (b *builder) countServers() {
	seen := map[string]bool{}
	for _, vm := range b.in.VMs {
		if vm.Role != "engine" {
			continue
		}
		seen[vm.Name] = true
		b.countVM(vm)
	}
	// The VM list may lag behind, so the VM of an unlisted intent counts as pending.
	// Buying it again has no effect if it exists.
	for _, i := range b.in.Intents {
		if !seen[i.Name] && i.ReleaseMS == 0 {
			b.out.Buy = append(b.out.Buy, i)
			b.addPending(i)
		}
	}
}

func (b *builder) addPending(i Intent) {
	if n := b.needs[i.Model]; n != nil {
		n.Pending[i.Offer.FailureDomain]++
	}
}

func (b *builder) countVM(vm ports.VM) {
	intent, managed := b.intents[vm.Name]
	orphan := !managed && hasVMPrefix(vm.Name, b.in.Params.Prefix)
	switch {
	case vm.State == ports.VMTerminated:
		delete(b.intents, vm.Name)
	case orphan:
		// Bought by a planner that has since lost its lease.
		b.out.Terminate = append(b.out.Terminate, vm.Name)
	case vm.State == ports.VMLeaving || intent.ReleaseMS > 0:
	case vm.State == ports.VMBooting:
		b.addPending(intent)
	default:
		b.countRunning(vm, intent, managed)
	}
}

func hasVMPrefix(name, prefix string) bool {
	return len(name) > len(prefix) && name[:len(prefix)] == prefix && name[len(prefix)] == '-'
}

func (b *builder) countRunning(vm ports.VM, intent Intent, managed bool) {
	e := &engineVM{vm: vm, model: intent.Model, managed: managed}
	b.engines[vm.Name] = e
	state, answered := b.in.Engines[vm.Name]
	if !answered {
		if managed {
			b.addPending(intent)
		}
		return
	}
	if state.LeavingMS > 0 {
		delete(b.engines, vm.Name)
		return
	}
	for _, m := range state.Models {
		if n := b.needs[m.Name]; n != nil {
			e.model, e.loaded = m.Name, m.Version == b.in.Catalog.Models[m.Name].Model.Version
		}
	}
	for _, name := range state.Loading {
		if _, ok := b.needs[name]; ok && !e.loaded {
			e.model = name
		}
	}
	n := b.needs[e.model]
	if n == nil {
		e.model = ""
		return
	}
	if e.loaded {
		n.Ready[vm.FailureDomain]++
		b.loadAdapters(e, state)
		return
	}
	n.Pending[vm.FailureDomain]++
	if !slices.Contains(state.Loading, e.model) {
		b.load(e, e.model)
	}
}

// loadAdapters orders the engine to load the adapters of its model that it does
// not have.
func (b *builder) loadAdapters(e *engineVM, state engine.State) {
	for _, name := range slices.Sorted(maps.Keys(b.in.Catalog.Adapters)) {
		a := b.in.Catalog.Adapters[name].Adapter
		adapter := engine.LoadedModel{Name: name, Version: a.Version}
		if a.Model == e.model && !slices.Contains(state.Models, adapter) && !slices.Contains(state.Loading, name) {
			b.out.Load = append(b.out.Load, EngineOrder{e.vm.Name, e.vm.Address, adapter, a.Bytes})
		}
	}
}

func (b *builder) load(e *engineVM, model string) {
	m := b.in.Catalog.Models[model].Model
	b.out.Load = append(b.out.Load, EngineOrder{e.vm.Name, e.vm.Address, engine.LoadedModel{Name: model, Version: m.Version}, m.Bytes})
}
