// Package plan decides what runs where: a pure function from what is wished,
// what is observed and the time to the next actions. It keeps nothing between
// calls, so a new planner goes on where the old one stopped.
package plan

import (
	"time"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/ports"
)

// Intent is a VM the planner has decided to have. It is written down before
// the VM is bought, so that a lost answer or a new planner buys no second one.
type Intent struct {
	Name      string      `json:"name"`
	Model     string      `json:"model"`
	Offer     ports.Offer `json:"offer"`
	SinceMS   int64       `json:"since"`
	ReleaseMS int64       `json:"release,omitempty"` // from when it gets no work; 0 while wanted
}

// Input is all a plan depends on.
type Input struct {
	Catalog *catalog.Snapshot
	VMs     []ports.VM
	Offers  []ports.Offer
	Engines map[string]engine.State // by VM name, those that answered
	Intents []Intent
	Refused map[OfferKey]time.Time // when an offer was last refused
	Now     time.Time
	Params  Params
}

// Params are the planner's settings.
type Params struct {
	Prefix                string
	MaxVMs                int // VMs bought at most
	WeightsBytesPerSecond float64
	BootTime              time.Duration
	Margin                time.Duration
	SpreadDomains         bool
	OnDemand              bool // buy on-demand VMs only
}

// OfferKey names an offer.
type OfferKey struct {
	Class       string
	Domain      string
	Reclaimable bool
}

// KeyOf names an offer.
func OfferKeyOf(o ports.Offer) OfferKey { return OfferKey{o.Class, o.FailureDomain, o.Reclaimable} }

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
	Load      []EngineOrder
	Unload    []EngineOrder
}

// Load is an order to an engine.
type EngineOrder struct {
	VM    string
	Addr  string
	Model engine.LoadedModel
	Bytes int64
}

// Result is a plan.
type Result struct {
	Actions Actions
	Needs   map[string]*Need // by model
}

// Need is what a model needs and has.
type Need struct {
	Model      string         `json:"model"`
	Servers    int            `json:"servers"` // that must be left when any one failure domain is lost
	Priority   int            `json:"priority"`
	CostWeight float64        `json:"cost_weight"` // of cost against latency, 0 to 1
	Ready      map[string]int `json:"ready"`       // by failure domain
	Pending    map[string]int `json:"coming"`      // booting or loading, by failure domain
	Refused    []string       `json:"refused,omitempty"`
}

// Left is how many servers would be left if the worst failure domain were lost.
func ServersAfterDomainLoss(byDomain map[string]int, spread bool) int {
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
func LeadTime(ev *catalog.Event, models map[string]catalog.Resource, p Params) time.Duration {
	bytes := 0.0
	for _, m := range ev.Models {
		if r, ok := models[m.Name]; ok {
			// One more domain's worth than needed is loaded, all through one store.
			bytes += float64(r.Model.Bytes) * float64(m.Servers+1)
		}
	}
	return p.BootTime + time.Duration(bytes/p.WeightsBytesPerSecond*float64(time.Second)) + p.Margin
}

// Make makes the plan.
func Compute(in Input) Result {
	b := newBuilder(in)
	b.count()
	for _, need := range b.byPriority() {
		b.fill(need)
	}
	b.release()
	b.finish()
	return Result{Actions: b.out, Needs: b.needs}
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
		b.needs[name] = &Need{Model: name, Servers: m.Model.Servers, Ready: map[string]int{}, Pending: map[string]int{}}
	}
	for _, ev := range in.Catalog.Events {
		b.addEvent(ev.Event)
	}
	return b
}

func (b *builder) addEvent(ev *catalog.Event) {
	lead := LeadTime(ev, b.in.Catalog.Models, b.in.Params)
	if b.in.Now.Before(ev.Start.Add(-lead)) || !b.in.Now.Before(ev.End) {
		return
	}
	for _, m := range ev.Models {
		if n := b.needs[m.Name]; n != nil {
			n.Servers += m.Servers
			n.Priority = max(n.Priority, ev.Priority+1)
			n.CostWeight = ev.CostWeight
		}
	}
}
