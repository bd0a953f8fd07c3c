// Package control implements crank-control: the operators' API, and the planner
// while this process holds the planner lease.
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
	maxViewLogEntries   = 20000
	maxJournalEntries   = 4096
	rolloutQueryTimeout = time.Second
	engineTimeout       = 2 * time.Second
	serverTimeout       = 5 * time.Second // of reading request headers and of shutdown
)

// Process is a crank-control instance.
type Process struct {
	cfg           settings.Control
	kv            *ports.KV
	kvTraffic     telemetry.Traffic
	view          *view.View
	fleet         *member.Fleet
	pool          *peer.Pool
	plannerLease  *plannerLease
	planner       *planner
	metrics       *telemetry.Metrics
	journal       *telemetry.Journal
	engines       *engine.Client
	startedAt     time.Time
	nodeRevisions sync.Map // last known complete revision, by node name and incarnation
}

// New returns a Process that has not been started.
func New(cfg settings.Control) (*Process, error) {
	metrics, err := telemetry.NewMetrics("crank-control")
	if err != nil {
		return nil, err
	}
	p := &Process{
		cfg: cfg, metrics: metrics, view: view.NewWithLog(maxViewLogEntries), fleet: member.NewFleet(cfg.Node.Name, time.Now),
		pool: peer.NewPool(cfg.Secrets.Peer), journal: telemetry.NewJournal(maxJournalEntries),
		engines: engine.NewClient(time.Second, engineTimeout), startedAt: time.Now(),
	}
	p.kv = ports.NewKV(cfg.KV.URL, cfg.KV.Timeout, p.kvTraffic.Dial(cfg.KV.Timeout))
	p.plannerLease = &plannerLease{kv: p.kv, view: p.view, name: cfg.Node.Name, ttl: cfg.Planner.LeaseTTL}
	p.planner = &planner{
		cfg: cfg, kv: p.kv, cloud: ports.NewCloud(cfg.Cloud.URL, cfg.Cloud.Timeout), engines: p.engines, view: p.view, plannerLease: p.plannerLease,
		metrics: metrics, journal: p.journal, refusedAt: map[plan.OfferKey]time.Time{}, engineStates: map[string]engineState{},
	}
	return p, nil
}

// Run serves until ctx is done, then shuts down the listener.
func (p *Process) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", p.cfg.Listen.Operators)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: p.handler(), ReadHeaderTimeout: serverTimeout}
	go func() { _ = srv.Serve(ln) }()
	klog.InfoS("started", "node", p.cfg.Node.Name, "operators", p.cfg.Listen.Operators, "planner", !p.cfg.Planner.Disabled)
	loops := []func(context.Context){func(ctx context.Context) { p.view.Follow(ctx, p.kv, view.Prefix) }, p.followView}
	if !p.cfg.Planner.Disabled {
		loops = append(loops, p.plannerLease.run, p.planner.run)
	}
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	_ = srv.Shutdown(shutdownCtx)
	klog.InfoS("stopped", "node", p.cfg.Node.Name)
	return nil
}

func (p *Process) followView(ctx context.Context) {
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
	operator.NewServer(operator.NewStore(p.kv, p.view), p.view, p.fleet, p.rolloutStatus, p.journal.ForSubject).Routes(r)
	return operator.RequireToken(p.cfg.Secrets.Operator, r)
}

// rolloutStatus queries all live nodes concurrently for the revision that they
// have applied.
func (p *Process) rolloutStatus(ctx context.Context, version int64) operator.RolloutStatus {
	ctx, cancel := context.WithTimeout(ctx, rolloutQueryTimeout)
	defer cancel()
	status := operator.RolloutStatus{Version: version}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, n := range p.fleet.Nodes() {
		status.Nodes++
		wg.Go(func() {
			ok := p.hasRevision(ctx, n, version)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				status.Have++
			} else {
				status.Lagging = append(status.Lagging, n.Name)
			}
		})
	}
	wg.Wait()
	slices.Sort(status.Lagging)
	return status
}

// hasRevision reports whether a node has applied version. A node's revision
// never decreases, so a positive result is cached per incarnation.
func (p *Process) hasRevision(ctx context.Context, n member.Node, version int64) bool {
	instance := n.Name + "#" + n.Incarnation
	if known, ok := p.nodeRevisions.Load(instance); ok && known.(int64) >= version {
		return true
	}
	resp, err := p.pool.Client(n.Peers).Inventory(ctx, &peer.InventoryRequest{})
	if err != nil {
		return false
	}
	p.nodeRevisions.Store(instance, resp.Complete)
	return resp.Complete >= version
}

// State is the response of /debug/state.
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
	Traffic          map[string][2]int64   `json:"control_bytes"` // by channel: bytes in, bytes out
}

const maxRecentDecisions = 50

func (p *Process) state() State {
	rev, _ := p.view.Complete()
	epoch, leading := p.plannerLease.currentEpoch()
	s := State{
		Node: p.cfg.Node.Name, UptimeS: int64(time.Since(p.startedAt).Seconds()), CompleteRevision: rev, Leading: leading, Epoch: epoch, Nodes: p.fleet.Nodes(),
		Traffic: map[string][2]int64{
			"kv":      {p.kvTraffic.In.Load(), p.kvTraffic.Out.Load()},
			"engines": {p.engines.Control.In.Load(), p.engines.Control.Out.Load()},
			"peers":   {p.pool.Traffic.In.Load(), p.pool.Traffic.Out.Load()},
		},
	}
	p.planner.mu.Lock()
	s.Rounds, s.Needs, s.Intents = p.planner.rounds, p.planner.lastResult.Needs, p.planner.lastResult.Actions.Intents
	p.planner.mu.Unlock()
	recent := p.journal.ForSubject("")
	s.Recent = recent[max(len(recent)-maxRecentDecisions, 0):]
	return s
}
