// Package control puts the parts of crank-control together and runs them: the
// operators' API, and the planner while this process holds its lease.
package control

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/operator"
	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/plan"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/settings"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/view"
)

const (
	logKept       = 20000
	journalKept   = 4096
	inForceCall   = time.Second
	engineTimeout = 2 * time.Second
	stopGrace     = 5 * time.Second
)

// Process is one crank-control.
type Process struct {
	set       settings.Control
	kv        *ports.KV
	kvTraffic telemetry.Traffic
	view      *view.View
	fleet     *member.Fleet
	pool      *peer.Pool
	lead      *lead
	planner   *planner
	metrics   *telemetry.Metrics
	journal   *telemetry.Journal
	engines   *engine.Client
	started   time.Time
	known     sync.Map // complete revision last heard, by node and incarnation
}

// New builds a process; nothing runs yet.
func New(set settings.Control) (*Process, error) {
	metrics, err := telemetry.NewMetrics("crank-control")
	if err != nil {
		return nil, err
	}
	p := &Process{
		set: set, metrics: metrics, view: view.NewWithLog(logKept), fleet: member.NewFleet(set.Node.Name, time.Now),
		pool: peer.NewPool(set.Secrets.Peer), journal: telemetry.NewJournal(journalKept),
		engines: engine.NewClient(time.Second, engineTimeout), started: time.Now(),
	}
	p.kv = ports.NewKV(set.KV.URL, set.KV.Timeout, p.kvTraffic.Dial(set.KV.Timeout))
	p.lead = &lead{kv: p.kv, view: p.view, name: set.Node.Name, ttl: set.Planner.Lease}
	p.planner = &planner{
		set: set, kv: p.kv, cloud: ports.NewCloud(set.Cloud.URL, set.Cloud.Timeout), engines: p.engines, view: p.view, lead: p.lead,
		metrics: metrics, journal: p.journal, refused: map[plan.OfferKey]time.Time{}, states: map[string]seenState{},
	}
	return p, nil
}

// Run serves until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", p.set.Listen.Operators)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: p.handler(), ReadHeaderTimeout: stopGrace}
	go func() { _ = srv.Serve(ln) }()
	klog.InfoS("started", "node", p.set.Node.Name, "operators", p.set.Listen.Operators, "planner", !p.set.Planner.Disabled)
	loops := []func(context.Context){func(ctx context.Context) { p.view.Follow(ctx, p.kv, view.Prefix) }, p.applyLoop}
	if !p.set.Planner.Disabled {
		loops = append(loops, p.lead.run, p.planner.run)
	}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	last, cancel := context.WithTimeout(context.Background(), stopGrace)
	defer cancel()
	_ = srv.Shutdown(last)
	klog.InfoS("stopped", "node", p.set.Node.Name)
	return nil
}

func (p *Process) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := p.view.Changed()
		p.fleet.Update(p.view)
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (p *Process) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if rev, _ := p.view.Complete(); rev == 0 {
			http.Error(w, "no configuration read yet", http.StatusServiceUnavailable)
		}
	})
	r.Handle("/metrics", p.metrics.Handler())
	r.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.state())
	})
	operator.NewServer(operator.NewStore(p.kv, p.view), p.view, p.fleet, p.inForce, p.journal.ForSubject).Routes(r)
	return operator.RequireToken(p.set.Secrets.Operator, r)
}

// inForce asks every live node which revision it has.
func (p *Process) inForce(ctx context.Context, version int64) operator.RolloutStatus {
	ctx, cancel := context.WithTimeout(ctx, inForceCall)
	defer cancel()
	out := operator.RolloutStatus{Version: version}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, n := range p.fleet.Nodes() {
		out.Nodes++
		wg.Go(func() {
			has := p.has(ctx, n, version)
			mu.Lock()
			defer mu.Unlock()
			if has {
				out.Have++
			} else {
				out.Lagging = append(out.Lagging, n.Name)
			}
		})
	}
	wg.Wait()
	slices.Sort(out.Lagging)
	return out
}

// has tells whether a version is in force on a node. A node that had it once
// has it for good, so it is asked only until then.
func (p *Process) has(ctx context.Context, n member.Node, version int64) bool {
	run := n.Name + "#" + n.Incarnation
	if known, ok := p.known.Load(run); ok && known.(int64) >= version {
		return true
	}
	resp, err := p.pool.Client(n.Peers).Inventory(ctx, &peer.InventoryRequest{})
	if err != nil {
		return false
	}
	p.known.Store(run, resp.Complete)
	return resp.Complete >= version
}

// State is the dump of a crank-control.
type State struct {
	Node             string                `json:"node"`
	UptimeS          int64                 `json:"uptime_s"`
	CompleteRevision int64                 `json:"complete_revision"`
	Leading          bool                  `json:"leading"`
	Epoch            int64                 `json:"epoch"`
	Rounds           int64                 `json:"rounds"`
	Needs            map[string]*plan.Need `json:"needs"`
	Intents          []plan.Intent         `json:"intents"`
	Nodes            []member.Node         `json:"nodes"`
	Recent           []telemetry.Decision  `json:"recent"`
	Traffic          map[string][2]int64   `json:"control_bytes"` // by channel: in, out
}

const recentShown = 50

func (p *Process) state() State {
	rev, _ := p.view.Complete()
	epoch, leading := p.lead.valid()
	s := State{
		Node: p.set.Node.Name, UptimeS: int64(time.Since(p.started).Seconds()), CompleteRevision: rev, Leading: leading, Epoch: epoch, Nodes: p.fleet.Nodes(),
		Traffic: map[string][2]int64{
			"kv":      {p.kvTraffic.In.Load(), p.kvTraffic.Out.Load()},
			"engines": {p.engines.Control.In.Load(), p.engines.Control.Out.Load()},
			"peers":   {p.pool.Traffic.In.Load(), p.pool.Traffic.Out.Load()},
		},
	}
	p.planner.mu.Lock()
	s.Rounds, s.Needs, s.Intents = p.planner.rounds, p.planner.last.Needs, p.planner.last.Actions.Intents
	p.planner.mu.Unlock()
	recent := p.journal.ForSubject("")
	s.Recent = recent[max(len(recent)-recentShown, 0):]
	return s
}
