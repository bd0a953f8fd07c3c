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
	intentsKey            = view.Prefix + "intents"
	maxConcurrentQueries  = 32
	offersRefreshInterval = 30 * time.Second
)

// planner computes and executes plans while this process holds the planner lease.
type planner struct {
	cfg          settings.Control
	kv           *ports.KV
	cloud        *ports.Cloud
	engines      *engine.Client
	view         *view.View
	plannerLease *plannerLease
	metrics      *telemetry.Metrics
	journal      *telemetry.Journal

	refusedAt    map[plan.OfferKey]time.Time
	engineStates map[string]engineState
	offers       []ports.Offer
	offersReadAt time.Time
	rounds       int64
	lastResult   plan.Result
	mu           sync.Mutex // guards rounds and lastResult, which /debug/state reads
}

// engineState is the last state read from an engine.
type engineState struct {
	engine.State
	readAt    time.Time
	orderSent bool // an order was sent after the read
	failed    bool
}

// run executes a planning round per interval while the lease is held.
func (p *planner) run(ctx context.Context) {
	process.Every(ctx, p.cfg.Planner.Round, func() {
		epoch, ok := p.plannerLease.currentEpoch()
		if !ok {
			clear(p.engineStates)
			return
		}
		result := "done"
		if err := p.runRound(ctx, epoch); err != nil {
			klog.V(1).InfoS("planner_round", "err", err)
			result = "failed"
		}
		p.metrics.Planner("round", result)
	})
}

var errLeaseLost = errors.New("planner lease lost or about to expire")

// checkLease returns an error if another process may hold the lease by now.
func (p *planner) checkLease(epoch int64) error {
	if current, ok := p.plannerLease.currentEpoch(); !ok || current != epoch {
		return errLeaseLost
	}
	return nil
}

func (p *planner) runRound(ctx context.Context, epoch int64) error {
	vms, err := p.cloud.VMs(ctx)
	if err != nil {
		return err
	}
	if err := p.refreshOffers(ctx); err != nil {
		return err
	}
	// Read from the store: the view may lack the last write of a previous holder.
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
	p.refreshEngines(ctx, vms)
	snap, _ := catalog.NewSnapshot(p.view.List(catalog.ConfigPrefix))
	in := plan.Input{
		Catalog: snap, VMs: vms, Offers: p.offers, Engines: p.respondingEngines(), Intents: intents, Refused: p.refusedAt, Now: time.Now(),
		Params: plan.Params{
			Prefix: p.cfg.Planner.VMPrefix, MaxVMs: p.cfg.Planner.MaxVMs, WeightsBytesPerSecond: p.cfg.Planner.WeightsRate, BootTime: p.cfg.Planner.BootTime,
			Margin: p.cfg.Planner.Margin, SpreadDomains: p.cfg.Planner.Spread, OnDemand: p.cfg.Planner.OnDemandOnly,
		},
	}
	res := plan.Compute(in)
	p.mu.Lock()
	p.rounds++
	p.lastResult = res
	p.mu.Unlock()
	// Publish before acting, so that nodes stop using leaving upstreams early.
	if err := p.publishUpstreams(ctx, epoch, vms, res.Actions.Intents); err != nil {
		return err
	}
	if err := p.storeIntents(ctx, epoch, stored, intents, res.Actions.Intents); err != nil {
		return err
	}
	if err := p.execute(ctx, epoch, res.Actions); err != nil {
		return err
	}
	return p.updateEventStatuses(ctx, epoch, in, res)
}

func (p *planner) refreshOffers(ctx context.Context) error {
	if p.offers != nil && time.Since(p.offersReadAt) < offersRefreshInterval {
		return nil
	}
	offers, err := p.cloud.Offers(ctx)
	if err == nil {
		p.offers, p.offersReadAt = offers, time.Now()
	}
	return err
}

// refreshEngines queries the engines whose state may have changed (new, loading,
// sent an order, or unreachable in the last round), and all others once per
// planner.recheck interval.
func (p *planner) refreshEngines(ctx context.Context, vms []ports.VM) {
	var stale []ports.VM
	live := map[string]bool{}
	for _, vm := range vms {
		if vm.Role != "engine" || vm.Address == "" || vm.State == ports.VMTerminated {
			continue
		}
		live[vm.Name] = true
		s, known := p.engineStates[vm.Name]
		if !known || s.orderSent || s.failed || len(s.Loading) > 0 || time.Since(s.readAt) > p.cfg.Planner.Recheck {
			stale = append(stale, vm)
		}
	}
	maps.DeleteFunc(p.engineStates, func(name string, _ engineState) bool { return !live[name] })
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentQueries)
	for _, vm := range stale {
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			st, err := p.engines.State(ctx, vm.Address, skipCacheEvents)
			mu.Lock()
			p.engineStates[vm.Name] = engineState{State: st, readAt: time.Now(), failed: err != nil}
			mu.Unlock()
		})
	}
	wg.Wait()
}

// skipCacheEvents is above all sequence numbers of cache events, so that an engine
// returns none.
const skipCacheEvents = 1 << 62

func (p *planner) respondingEngines() map[string]engine.State {
	states := map[string]engine.State{}
	for name, s := range p.engineStates {
		if !s.failed {
			states[name] = s.State
		}
	}
	return states
}

func (p *planner) storeIntents(ctx context.Context, epoch int64, stored ports.Item, oldIntents, newIntents []plan.Intent) error {
	if slices.Equal(oldIntents, newIntents) {
		return nil
	}
	if err := p.checkLease(epoch); err != nil {
		return err
	}
	raw, err := json.Marshal(newIntents)
	if err != nil {
		return err
	}
	swap, err := p.kv.PutIf(ctx, intentsKey, raw, stored.Revision, 0)
	if err == nil && !swap.Succeeded {
		err = errLeaseLost
	}
	return err
}

func (p *planner) execute(ctx context.Context, epoch int64, a plan.Actions) error {
	for _, i := range a.Buy {
		if err := p.buy(ctx, epoch, i, a.Intents); err != nil {
			return err
		}
	}
	for _, name := range a.Terminate {
		if err := p.checkLease(epoch); err != nil {
			return err
		}
		err := p.cloud.Terminate(ctx, name)
		p.recordAction(name, "terminate", err)
	}
	for _, o := range a.Unload {
		p.sendOrder(ctx, epoch, o, engine.OpUnload)
	}
	for _, o := range a.Load {
		p.sendOrder(ctx, epoch, o, engine.OpLoad)
	}
	return nil
}

// buy buys the VM of an intent. planned is the list of intents that was stored
// before the first purchase of the round.
func (p *planner) buy(ctx context.Context, epoch int64, i plan.Intent, planned []plan.Intent) error {
	if err := p.checkLease(epoch); err != nil {
		return err
	}
	_, err := p.cloud.Buy(ctx, i.Name, i.Offer)
	p.recordAction(i.Name, "buy", err)
	if !errors.Is(err, ports.ErrRefused) {
		return nil
	}
	p.refusedAt[plan.OfferKeyOf(i.Offer)] = time.Now()
	// Delete the intent, or the planner would count its VM as pending forever.
	stored, _, _, err := p.kv.Get(ctx, intentsKey)
	if err != nil {
		return err
	}
	var current []plan.Intent
	if err := json.Unmarshal(stored.Value, &current); err != nil {
		return err
	}
	current = slices.DeleteFunc(current, func(o plan.Intent) bool { return o.Name == i.Name })
	return p.storeIntents(ctx, epoch, stored, planned, current)
}

func (p *planner) sendOrder(ctx context.Context, epoch int64, o plan.EngineOrder, op string) {
	if p.checkLease(epoch) != nil {
		return
	}
	err := p.engines.SendOrder(ctx, o.Addr, engine.Order{Epoch: epoch, Op: op, Name: o.Model.Name, Version: o.Model.Version, Bytes: o.Bytes})
	s := p.engineStates[o.VM]
	s.orderSent = true
	p.engineStates[o.VM] = s
	p.recordAction(o.VM, op+" "+o.Model.Name, err)
}

func (p *planner) recordAction(subject, action string, err error) {
	reason, result := "", "done"
	if err != nil {
		reason, result = err.Error(), "failed"
	}
	p.journal.Add(subject, action, reason)
	verb, _, _ := strings.Cut(action, " ")
	p.metrics.Planner(verb, result)
	klog.InfoS("planner_action", "subject", subject, "what", action, "err", err)
}
