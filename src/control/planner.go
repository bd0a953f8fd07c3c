package control

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/plan"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/process"
	"github.com/crankridge/crankridge/src/settings"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/view"
)

const (
	intentsKey   = view.Prefix + "intents"
	ordersAtOnce = 32
	offersEvery  = 30 * time.Second
)

// planner carries out plans while its process holds the lease.
type planner struct {
	set     settings.Control
	kv      *ports.KV
	cloud   *ports.Cloud
	engines *engine.Client
	view    *view.View
	lead    *lead
	metrics *telemetry.Metrics
	journal *telemetry.Journal

	refused map[plan.OfferKey]time.Time
	states  map[string]seenState
	offers  []ports.Offer
	asked   time.Time
	rounds  int64
	last    plan.Result
	mu      sync.Mutex // guards rounds and last for the state dump
}

// seenState is an engine's last report, and when it was read.
type seenState struct {
	engine.State
	at      time.Time
	pending bool // an order was given since
	failed  bool
}

// run makes one round after the other while the lease is held.
func (p *planner) run(ctx context.Context) {
	process.Every(ctx, p.set.Planner.Round, func() {
		epoch, ok := p.lead.valid()
		if !ok {
			clear(p.states)
			return
		}
		result := "done"
		if err := p.round(ctx, epoch); err != nil {
			klog.V(1).InfoS("planner_round", "err", err)
			result = "failed"
		}
		p.metrics.Planner("round", result)
	})
}

var errLost = errors.New("planner lease is no longer surely held")

// still returns an error once the lease may have passed to another.
func (p *planner) still(epoch int64) error {
	if now, ok := p.lead.valid(); !ok || now != epoch {
		return errLost
	}
	return nil
}

func (p *planner) round(ctx context.Context, epoch int64) error {
	vms, err := p.cloud.VMs(ctx)
	if err != nil {
		return err
	}
	if err := p.readOffers(ctx); err != nil {
		return err
	}
	// Intents are read afresh: an older planner may have written after this
	// one's view was made.
	stored, _, _, err := p.kv.Get(ctx, intentsKey)
	if err != nil {
		return err
	}
	var intents []plan.Intent
	if len(stored.Value) > 0 {
		if err := json.Unmarshal(stored.Value, &intents); err != nil {
			return err
		}
	}
	p.readEngines(ctx, vms)
	snap, _ := catalog.NewSnapshot(p.view.List(catalog.ConfigPrefix))
	in := plan.Input{
		Catalog: snap, VMs: vms, Offers: p.offers, Engines: p.answered(), Intents: intents, Refused: p.refused, Now: time.Now(),
		Params: plan.Params{
			Prefix: p.set.Planner.VMPrefix, MaxVMs: p.set.Planner.MaxServers, WeightsBytesPerSecond: p.set.Planner.WeightsRate, BootTime: p.set.Planner.Boot,
			Margin: p.set.Planner.Margin, SpreadDomains: p.set.Planner.Spread, OnDemand: p.set.Planner.OnDemandOnly,
		},
	}
	res := plan.Compute(in)
	p.mu.Lock()
	p.rounds++
	p.last = res
	p.mu.Unlock()
	// What is leaving is told first: it is the most urgent.
	if err := p.publish(ctx, epoch, vms, res.Actions.Intents); err != nil {
		return err
	}
	if err := p.storeIntents(ctx, epoch, stored, intents, res.Actions.Intents); err != nil {
		return err
	}
	if err := p.act(ctx, epoch, res.Actions); err != nil {
		return err
	}
	return p.tellEvents(ctx, epoch, in, res)
}

func (p *planner) readOffers(ctx context.Context) error {
	if p.offers != nil && time.Since(p.asked) < offersEvery {
		return nil
	}
	offers, err := p.cloud.Offers(ctx)
	if err == nil {
		p.offers, p.asked = offers, time.Now()
	}
	return err
}

// readEngines asks those engines whose state may have changed: new ones, ones
// that load something, ones that failed, and all others now and then.
func (p *planner) readEngines(ctx context.Context, vms []ports.VM) {
	var due []ports.VM
	living := map[string]bool{}
	for _, vm := range vms {
		if vm.Role != "engine" || vm.Address == "" || vm.State == ports.VMTerminated {
			continue
		}
		living[vm.Name] = true
		s, known := p.states[vm.Name]
		if !known || s.pending || s.failed || len(s.Loading) > 0 || time.Since(s.at) > p.set.Planner.Recheck {
			due = append(due, vm)
		}
	}
	maps.DeleteFunc(p.states, func(name string, _ seenState) bool { return !living[name] })
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, ordersAtOnce)
	for _, vm := range due {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			st, err := p.engines.State(ctx, vm.Address, noCacheEvents)
			mu.Lock()
			p.states[vm.Name] = seenState{State: st, at: time.Now(), failed: err != nil}
			mu.Unlock()
		})
	}
	wg.Wait()
}

// noCacheEvents is above any event's number, so that none is sent.
const noCacheEvents = 1 << 62

func (p *planner) answered() map[string]engine.State {
	out := map[string]engine.State{}
	for name, s := range p.states {
		if !s.failed {
			out[name] = s.State
		}
	}
	return out
}

func (p *planner) storeIntents(ctx context.Context, epoch int64, stored ports.Item, old, next []plan.Intent) error {
	if slices.Equal(old, next) {
		return nil
	}
	if err := p.still(epoch); err != nil {
		return err
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return err
	}
	swap, err := p.kv.PutIf(ctx, intentsKey, raw, stored.Revision, 0)
	if err == nil && !swap.Succeeded {
		err = errLost
	}
	return err
}

func (p *planner) act(ctx context.Context, epoch int64, a plan.Actions) error {
	for _, i := range a.Buy {
		if err := p.buy(ctx, epoch, i, a.Intents); err != nil {
			return err
		}
	}
	for _, name := range a.Terminate {
		if err := p.still(epoch); err != nil {
			return err
		}
		err := p.cloud.Terminate(ctx, name)
		p.note(name, "terminate", err)
	}
	for _, o := range a.Unload {
		p.order(ctx, epoch, o, engine.OpUnload)
	}
	for _, o := range a.Load {
		p.order(ctx, epoch, o, engine.OpLoad)
	}
	return nil
}

func (p *planner) buy(ctx context.Context, epoch int64, i plan.Intent, all []plan.Intent) error {
	if err := p.still(epoch); err != nil {
		return err
	}
	_, err := p.cloud.Buy(ctx, i.Name, i.Offer)
	p.note(i.Name, "buy", err)
	if !errors.Is(err, ports.ErrRefused) {
		return nil
	}
	p.refused[plan.OfferKeyOf(i.Offer)] = time.Now()
	// The intent is given up, or it would count as coming for ever.
	stored, _, _, err := p.kv.Get(ctx, intentsKey)
	if err != nil {
		return err
	}
	var have []plan.Intent
	if err := json.Unmarshal(stored.Value, &have); err != nil {
		return err
	}
	have = slices.DeleteFunc(have, func(o plan.Intent) bool { return o.Name == i.Name })
	return p.storeIntents(ctx, epoch, stored, all, have)
}

func (p *planner) order(ctx context.Context, epoch int64, l plan.EngineOrder, op string) {
	if p.still(epoch) != nil {
		return
	}
	err := p.engines.SendOrder(ctx, l.Addr, engine.Order{Epoch: epoch, Op: op, Name: l.Model.Name, Version: l.Model.Version, Bytes: l.Bytes})
	s := p.states[l.VM]
	s.pending = true
	p.states[l.VM] = s
	p.note(l.VM, op+" "+l.Model.Name, err)
}

func (p *planner) note(subject, what string, err error) {
	why, result := "", "done"
	if err != nil {
		why, result = err.Error(), "failed"
	}
	p.journal.Add(subject, what, why)
	verb, _, _ := strings.Cut(what, " ")
	p.metrics.Planner(verb, result)
	klog.InfoS("planner_action", "subject", subject, "what", what, "err", err)
}
