// Package plan computes the actions that bring the observed VMs and engines
// closer to the configured state. It keeps no state between calls, so any
// planner can continue the work of another.
package plan

import (
	"time"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/ports"
)

// Intent is a VM the planner has decided to run. It is stored before the VM is
// bought, so that a lost response or a new planner does not buy a second one.
type Intent struct {
	Name      string      `json:"name"`
	Model     string      `json:"model"`
	Offer     ports.Offer `json:"offer"`
	SinceMS   int64       `json:"since"`             // time of the decision, Unix ms
	ReleaseMS int64       `json:"release,omitempty"` // time from which the VM gets no new work, Unix ms; 0 if not released
}

// Input is the complete input of a plan.
type Input struct {
	Catalog *catalog.Snapshot
	VMs     []ports.VM
	Offers  []ports.Offer
	Engines map[string]engine.State // by VM name; only engines that answered
	Intents []Intent
	Refused map[OfferKey]time.Time // time of the last refusal of each offer
	Now     time.Time
	Params  Params
}

// Params are the planner's settings.
type Params struct {
	Prefix                string  // prefix of the names of bought VMs
	MaxVMs                int     // limit of bought VMs
	WeightsBytesPerSecond float64 // rate at which the store of the weights serves all engines together
	BootTime              time.Duration
	Margin                time.Duration // added to the lead time of events
	SpreadDomains         bool          // needs must be met even if any one failure domain is lost
	OnDemand              bool          // buy on-demand VMs only
}

// OfferKey identifies an offer.
type OfferKey struct {
	Class       string
	Domain      string
	Reclaimable bool
}

// OfferKeyOf returns the key of an offer.
func OfferKeyOf(o ports.Offer) OfferKey { return OfferKey{o.Class, o.FailureDomain, o.Reclaimable} }

const (
	refusalBackoff = 5 * time.Second  // time before a refused offer is tried again
	releaseGrace   = 30 * time.Second // time between the release of a VM and its termination
	hoursPerDay    = 24
	lossCostDays   = 2.0 // cost of losing a VM at cost weight 0, in days of its price
)

// Actions are the next steps of the planner. All of them are idempotent.
type Actions struct {
	Intents   []Intent // the complete list, to be stored before the other actions
	Buy       []Intent
	Terminate []string // VM names
	Load      []EngineOrder
	Unload    []EngineOrder
}

// EngineOrder is an order to an engine to load or unload a model or adapter.
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

// Need holds the required and the existing servers of a model.
type Need struct {
	Model      string         `json:"model"`
	Servers    int            `json:"servers"` // required, with SpreadDomains even if any one failure domain is lost
	Priority   int            `json:"priority"`
	CostWeight float64        `json:"cost_weight"`       // 0 to 1: the expected cost of losing a VM counts fully at 0 and not at all at 1
	Ready      map[string]int `json:"ready"`             // servers with the model loaded, by failure domain
	Pending    map[string]int `json:"coming"`            // servers booting or loading, by failure domain
	Refused    []string       `json:"refused,omitempty"` // refused offers, as text for operators
}

// ServersAfterDomainLoss returns how many servers remain if the failure domain
// with the most servers is lost. Without spread it returns the total.
func ServersAfterDomainLoss(byDomain map[string]int, spread bool) int {
	total, maxServers := 0, 0
	for _, n := range byDomain {
		total += n
		maxServers = max(maxServers, n)
	}
	if !spread {
		return total
	}
	return total - maxServers
}

// LeadTime returns how long before its start the preparation of an event begins.
func LeadTime(ev *catalog.Event, models map[string]catalog.Resource, p Params) time.Duration {
	bytes := 0.0
	for _, m := range ev.Models {
		if r, ok := models[m.Name]; ok {
			// All servers load from one store. One extra server per model is assumed
			// for SpreadDomains, which may need more.
			bytes += float64(r.Model.Bytes) * float64(m.Servers+1)
		}
	}
	return p.BootTime + time.Duration(bytes/p.WeightsBytesPerSecond*float64(time.Second)) + p.Margin
}

// Compute computes the plan.
func Compute(in Input) Result {
	b := newBuilder(in)
	b.countServers()
	for _, need := range b.needsByPriority() {
		b.addServers(need)
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

// addEvent adds the servers of an event to the needs from the start of its
// preparation until its end.
func (b *builder) addEvent(ev *catalog.Event) {
	leadTime := LeadTime(ev, b.in.Catalog.Models, b.in.Params)
	if b.in.Now.Before(ev.Start.Add(-leadTime)) || !b.in.Now.Before(ev.End) {
		return
	}
	for _, m := range ev.Models {
		if n := b.needs[m.Name]; n != nil {
			n.Servers += m.Servers
			// Of events that overlap, the one to which losing a VM costs the most counts.
			if n.Priority == 0 || ev.CostWeight < n.CostWeight {
				n.CostWeight = ev.CostWeight
			}
			// Models that no event needs have priority 0.
			n.Priority = max(n.Priority, ev.Priority+1)
		}
	}
}
