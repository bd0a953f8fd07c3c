package plan

import (
	"maps"
	"slices"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/ports"
)

// engineVM is an engine the plan can count on.
type engineVM struct {
	vm     ports.VM
	model  string // loaded, loading or meant for
	loaded bool
	ours   bool
}

// count matches VMs, intents and engine states.
func (b *builder) count() {
	seen := map[string]bool{}
	for _, vm := range b.in.VMs {
		if vm.Role != "engine" {
			continue
		}
		seen[vm.Name] = true
		b.countVM(vm)
	}
	// A VM that the lagging list does not show yet is still coming.
	for _, i := range b.in.Intents {
		if !seen[i.Name] && i.ReleaseMS == 0 {
			b.out.Buy = append(b.out.Buy, i)
			b.coming(i)
		}
	}
}

func (b *builder) coming(i Intent) {
	if n := b.needs[i.Model]; n != nil {
		n.Pending[i.Offer.FailureDomain]++
	}
}

func (b *builder) countVM(vm ports.VM) {
	intent, ours := b.intents[vm.Name]
	orphan := !ours && hasPrefix(vm.Name, b.in.Params.Prefix)
	switch {
	case vm.State == ports.VMTerminated:
		delete(b.intents, vm.Name)
	case orphan:
		// Bought by a planner that has lost its lease since; nobody wants it.
		b.out.Terminate = append(b.out.Terminate, vm.Name)
	case vm.State == ports.VMLeaving || intent.ReleaseMS > 0:
	case vm.State == ports.VMBooting:
		b.coming(intent)
	default:
		b.countRunning(vm, intent, ours)
	}
}

func hasPrefix(name, prefix string) bool {
	return len(name) > len(prefix) && name[:len(prefix)] == prefix && name[len(prefix)] == '-'
}

func (b *builder) countRunning(vm ports.VM, intent Intent, ours bool) {
	e := &engineVM{vm: vm, model: intent.Model, ours: ours}
	b.engines[vm.Name] = e
	st, answered := b.in.Engines[vm.Name]
	if !answered {
		if ours {
			b.coming(intent)
		}
		return
	}
	if st.LeavingMS > 0 {
		delete(b.engines, vm.Name)
		return
	}
	for _, m := range st.Models {
		if n := b.needs[m.Name]; n != nil {
			e.model, e.loaded = m.Name, m.Version == b.in.Catalog.Models[m.Name].Model.Version
		}
	}
	for _, name := range st.Loading {
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
		b.loadAdapters(e, st)
		return
	}
	n.Pending[vm.FailureDomain]++
	if !slices.Contains(st.Loading, e.model) {
		b.load(e, e.model)
	}
}

// loadAdapters orders the adapters of the engine's model that it lacks.
func (b *builder) loadAdapters(e *engineVM, st engine.State) {
	for _, name := range slices.Sorted(maps.Keys(b.in.Catalog.Adapters)) {
		a := b.in.Catalog.Adapters[name].Adapter
		item := engine.LoadedModel{Name: name, Version: a.Version}
		if a.Model == e.model && !slices.Contains(st.Models, item) && !slices.Contains(st.Loading, name) {
			b.out.Load = append(b.out.Load, EngineOrder{e.vm.Name, e.vm.Address, item, a.Bytes})
		}
	}
}

func (b *builder) load(e *engineVM, model string) {
	m := b.in.Catalog.Models[model].Model
	b.out.Load = append(b.out.Load, EngineOrder{e.vm.Name, e.vm.Address, engine.LoadedModel{Name: model, Version: m.Version}, m.Bytes})
}
