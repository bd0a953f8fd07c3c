// Package plan decides what runs where: a pure function from what is wished,
// what is observed and the time to the next actions. It keeps nothing between
// calls, so a new planner goes on where the old one stopped.
package plan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/platform"
)

// Intent is a VM the planner has decided to have. It is written down before
// the VM is bought, so that a lost answer or a new planner buys no second one.
type Intent struct {
	Name      string         `json:"name"`
	Model     string         `json:"model"`
	Offer     platform.Offer `json:"offer"`
	SinceMS   int64          `json:"since"`
	ReleaseMS int64          `json:"release,omitempty"` // from when it gets no work; 0 while wanted
}

// Input is all a plan depends on.
type Input struct {
	Catalog *catalog.Snapshot
	VMs     []platform.VM
	Offers  []platform.Offer
	Engines map[string]engine.State // by VM name, those that answered
	Intents []Intent
	Refused map[OfferKey]time.Time // when an offer was last refused
	Now     time.Time
	Params  Params
}

// Params are the planner's settings.
type Params struct {
	Prefix      string
	Most        int // VMs bought at most
	WeightsRate float64
	Boot        time.Duration
	Margin      time.Duration
	Spread      bool
	OnDemand    bool // buy on-demand VMs only
}

// OfferKey names an offer.
type OfferKey struct {
	Class       string
	Domain      string
	Reclaimable bool
}

// KeyOf names an offer.
func KeyOf(o platform.Offer) OfferKey { return OfferKey{o.Class, o.FailureDomain, o.Reclaimable} }

const (
	refusedFor   = 5 * time.Second // a refused offer is not asked again sooner
	releaseGrace = 30 * time.Second
	hoursPerDay  = 24
	lossCost     = 2.0 // hours of price that losing a VM costs at cost weight 0
)

// Actions are what to do next. All of them may be done again without harm.
type Actions struct {
	Intents   []Intent // the whole list to be stored before anything else
	Buy       []Intent
	Terminate []string // VM names
	Load      []Load
	Unload    []Load
}

// Load is an order to an engine.
type Load struct {
	VM   string
	Addr string
	Item engine.Loaded
	Size int64
}

// Result is a plan.
type Result struct {
	Actions Actions
	Needs   map[string]*Need // by model
}

// Need is what a model needs and has.
type Need struct {
	Model    string
	Servers  int // that must be left when any one failure domain is lost
	Priority int
	Cost     float64 // weight of cost against latency, 0 to 1
	Ready    map[string]int
	Coming   map[string]int // booting or loading, by failure domain
	Refused  []string
}

// Left is how many servers would be left if the worst failure domain were lost.
func Left(byDomain map[string]int, spread bool) int {
	total, most := 0, 0
	for _, n := range byDomain {
		total += n
		most = max(most, n)
	}
	if !spread {
		return total
	}
	return total - most
}

// Lead is how long before its start an event is prepared.
func Lead(ev *catalog.Event, models map[string]catalog.Resource, p Params) time.Duration {
	bytes := 0.0
	for _, m := range ev.Models {
		if r, ok := models[m.Name]; ok {
			// One more domain's worth than needed is loaded, all through one store.
			bytes += float64(r.Model.Bytes) * float64(m.Servers+1)
		}
	}
	return p.Boot + time.Duration(bytes/p.WeightsRate*float64(time.Second)) + p.Margin
}

// Make makes the plan.
func Make(in Input) Result {
	b := newBuilder(in)
	b.count()
	for _, need := range b.byPriority() {
		b.fill(need)
	}
	b.release()
	b.finish()
	return Result{Actions: b.out, Needs: b.needs}
}

// engineVM is an engine the plan can count on.
type engineVM struct {
	vm     platform.VM
	model  string // loaded, loading or meant for
	loaded bool
	ours   bool
}

type builder struct {
	in      Input
	needs   map[string]*Need
	engines map[string]*engineVM
	intents map[string]Intent
	out     Actions
}

func newBuilder(in Input) *builder {
	b := &builder{in: in, needs: map[string]*Need{}, engines: map[string]*engineVM{}, intents: map[string]Intent{}}
	for _, i := range in.Intents {
		b.intents[i.Name] = i
	}
	for name, m := range in.Catalog.Models {
		b.needs[name] = &Need{Model: name, Servers: m.Model.Servers, Ready: map[string]int{}, Coming: map[string]int{}}
	}
	for _, ev := range in.Catalog.Events {
		b.addEvent(ev.Event)
	}
	return b
}

func (b *builder) addEvent(ev *catalog.Event) {
	lead := Lead(ev, b.in.Catalog.Models, b.in.Params)
	if b.in.Now.Before(ev.Start.Add(-lead)) || !b.in.Now.Before(ev.End) {
		return
	}
	for _, m := range ev.Models {
		if n := b.needs[m.Name]; n != nil {
			n.Servers += m.Servers
			n.Priority = max(n.Priority, ev.Priority+1)
			n.Cost = ev.CostWeight
		}
	}
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
		n.Coming[i.Offer.FailureDomain]++
	}
}

func (b *builder) countVM(vm platform.VM) {
	intent, ours := b.intents[vm.Name]
	orphan := !ours && hasPrefix(vm.Name, b.in.Params.Prefix)
	switch {
	case vm.State == platform.VMTerminated:
		delete(b.intents, vm.Name)
	case orphan:
		// Bought by a planner that has lost its lease since; nobody wants it.
		b.out.Terminate = append(b.out.Terminate, vm.Name)
	case vm.State == platform.VMLeaving || intent.ReleaseMS > 0:
	case vm.State == platform.VMBooting:
		b.coming(intent)
	default:
		b.countRunning(vm, intent, ours)
	}
}

func hasPrefix(name, prefix string) bool {
	return len(name) > len(prefix) && name[:len(prefix)] == prefix && name[len(prefix)] == '-'
}

func (b *builder) countRunning(vm platform.VM, intent Intent, ours bool) {
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
	n.Coming[vm.FailureDomain]++
	if !slices.Contains(st.Loading, e.model) {
		b.load(e, e.model)
	}
}

// loadAdapters orders the adapters of the engine's model that it lacks.
func (b *builder) loadAdapters(e *engineVM, st engine.State) {
	for _, name := range slices.Sorted(maps.Keys(b.in.Catalog.Adapters)) {
		a := b.in.Catalog.Adapters[name].Adapter
		item := engine.Loaded{Name: name, Version: a.Version}
		if a.Model == e.model && !slices.Contains(st.Models, item) && !slices.Contains(st.Loading, name) {
			b.out.Load = append(b.out.Load, Load{e.vm.Name, e.vm.Address, item, a.Bytes})
		}
	}
}

func (b *builder) load(e *engineVM, model string) {
	m := b.in.Catalog.Models[model].Model
	b.out.Load = append(b.out.Load, Load{e.vm.Name, e.vm.Address, engine.Loaded{Name: model, Version: m.Version}, m.Bytes})
}

func (b *builder) byPriority() []*Need {
	return slices.SortedFunc(maps.Values(b.needs), func(x, y *Need) int {
		return cmp.Or(cmp.Compare(y.Priority, x.Priority), cmp.Compare(x.Model, y.Model))
	})
}

func (n *Need) all() map[string]int {
	out := maps.Clone(n.Ready)
	for d, c := range n.Coming {
		out[d] += c
	}
	return out
}

// fill adds servers to a model until any one failure domain may go.
func (b *builder) fill(n *Need) {
	if n.Servers == 0 {
		return
	}
	for Left(n.all(), b.in.Params.Spread) < n.Servers {
		domain, ok := b.place(n)
		if !ok {
			return
		}
		n.Coming[domain]++
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
			b.out.Unload = append(b.out.Unload, Load{VM: e.vm.Name, Addr: e.vm.Address, Item: engine.Loaded{Name: e.model}})
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
	if !b.in.Params.Spread {
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
func (b *builder) offer(n *Need, domain string) (platform.Offer, bool) {
	if len(b.intents) >= b.in.Params.Most {
		return platform.Offer{}, false
	}
	class := b.in.Catalog.Models[n.Model].Model.Class
	var fits []platform.Offer
	for _, o := range b.in.Offers {
		at, refused := b.in.Refused[KeyOf(o)]
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
		return platform.Offer{}, false
	}
	return slices.MinFunc(fits, func(x, y platform.Offer) int {
		return cmp.Or(cmp.Compare(Score(x, n.Cost), Score(y, n.Cost)), cmp.Compare(x.Class, y.Class))
	}), true
}

// Score is the hourly price of an offer with the risk of its loss counted in.
func Score(o platform.Offer, costWeight float64) float64 {
	lossesPerHour := o.ReclaimPerDay / hoursPerDay
	return o.HourPrice * (1 + lossesPerHour*lossCost*hoursPerDay*(1-costWeight))
}

func (n *Need) refuse(o platform.Offer) {
	kind := "on-demand"
	if o.Reclaimable {
		kind = "reclaimable"
	}
	why := "the cloud refuses " + kind + " " + o.Class + " in " + o.FailureDomain
	if !slices.Contains(n.Refused, why) {
		n.Refused = append(n.Refused, why)
	}
}

func (b *builder) buy(n *Need, o platform.Offer) {
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

// release gives back bought VMs beyond what is needed: first out of use, then,
// after a grace in which their streams end, terminated.
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
	for _, n := range b.byPriority() {
		b.releaseSurplus(n)
	}
}

func (b *builder) isGone(name string) bool {
	return !slices.ContainsFunc(b.in.VMs, func(vm platform.VM) bool {
		return vm.Name == name && vm.State != platform.VMTerminated
	})
}

func (b *builder) releaseSurplus(n *Need) {
	for {
		best := ""
		for _, i := range b.sortedIntents() {
			e := b.engines[i.Name]
			if i.Model != n.Model || i.ReleaseMS > 0 || e == nil || !e.loaded {
				continue
			}
			without := maps.Clone(n.Ready)
			without[i.Offer.FailureDomain]--
			if Left(without, b.in.Params.Spread) >= n.Servers && (best == "" || i.Offer.HourPrice > b.intents[best].Offer.HourPrice) {
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
