package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"
	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/capacity"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/process"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/traffic"
	"github.com/crankridge/crankridge/src/view"
)

// Keys of the store that belong to the gateway.
const (
	ownPrefix   = "crankridge/"
	nodePrefix  = ownPrefix + "nodes/"
	leaseKey    = ownPrefix + "duty"
	usagePrefix = ownPrefix + "usage/"
)

// Times of a node.
const (
	stepEvery      = 250 * time.Millisecond
	backstopEvery  = 3 * time.Second
	backstopGrace  = 700 * time.Millisecond // in which a watch shows what a read has seen
	refuseAfter    = 3 * time.Second        // from the signal to stop; new requests are refused then
	stopMargin     = 400 * time.Millisecond
	idleConnection = 2 * time.Minute
	headerTimeout  = 30 * time.Second
	headerMost     = 64 << 10
	addressesMost  = 64
)

// Node is one gateway process.
type Node struct {
	set      Settings
	platform Platform
	store    Store
	headers  traffic.Headers

	view    *view.View
	table   atomic.Pointer[traffic.Table]
	fleet   *fleet
	members *cluster.Members
	roster  *cluster.Roster
	peers   *cluster.Node
	quota   *admit.SharedLimiter
	budget  *request.WindowBudget
	usage   *usageCounter
	ledger  *duty.Ledger
	lease   *duty.Lease
	report  *duty.UsageReporter
	buyer   *capacity.Provisioner
	scaler  *scaler
	beliefs *beliefs
	silence silence

	began       time.Time
	incarnation atomic.Int64
	sequence    atomic.Int64
	open        atomic.Int64
	stopAt      atomic.Int64 // Unix nanoseconds of the signal to stop; 0 before it
	configIn    int64        // revision of the configuration that was looked at last
	rngMu       sync.Mutex
	rng         *rand.Rand
	servers     []*http.Server
	metrics     *telemetry.GatewayMetrics
	reloaded    atomic.Pointer[Settings]

	entry   registration             // of the loop that registers, and of Run after it
	decoded map[string]decodedServer // by key; of the loop that applies changes
}

// New assembles a node.
func New(set Settings, p Platform) (*Node, error) {
	metrics, err := telemetry.NewGatewayMetrics()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	n := &Node{
		set: set, platform: p, store: p.Store(), headers: p.Headers(), view: view.New(), fleet: newFleet(time.Now),
		members: cluster.NewMembers(set.Node, time.Now), roster: cluster.NewRoster(set.Node, time.Now), quota: admit.NewSharedLimiter(now, admit.Tolerance(set.Quota)),
		budget: request.NewWindowBudget(set.Retries.Ratio, set.Retries.Extra, set.Retries.Window, set.FirstStart),
		ledger: duty.NewLedger(), metrics: metrics, scaler: newScaler(), beliefs: newBeliefs(time.Now), began: now, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	n.usage = newUsageCounter(set.Duties.UsageWindow, n.agreed)
	n.peers = &cluster.Node{Members: n.members, View: n.view, Own: n.record, Seeds: n.seeds, Entries: n.roster.Entries, NeedsAllRecords: n.holdsDuty, OnStalledConn: n.connectionsSilent, RaiseIncarnation: n.raiseIncarnation}
	n.incarnation.Store(now.UnixMicro())
	n.peers.Start()
	n.lease = duty.NewLease(n.store, leaseKey, set.Node, set.Duties.Lease, time.Now)
	n.report = &duty.UsageReporter{
		Ledger: n.ledger, Lease: n.lease, Store: n.store, Sender: p, Prefix: usagePrefix,
		Window: set.Duties.UsageWindow, Late: set.Duties.UsageLate, Clock: n.agreed, AllHeard: n.members.AllHeard,
	}
	n.buyer = &capacity.Provisioner{Lease: n.lease, Sender: p, Now: time.Now}
	n.entry = registration{store: n.store, key: nodePrefix + set.Node, entry: nodeEntry{Peers: set.Listen.Peers, FailureDomain: set.FailureDomain}}
	n.reloaded.Store(&set)
	return n, n.gauges()
}

// gauges adds what is read from the node's state when metrics are asked for.
func (n *Node) gauges() error {
	return errors.Join(
		n.metrics.Gauge("configuration_version", "version of the configuration in force", func() float64 { return float64(n.version()) }),
		n.metrics.Gauge("revision", "revision of the store up to which nothing is missing", func() float64 {
			complete, _ := n.view.Complete()
			return float64(complete)
		}),
		n.metrics.Gauge("members", "nodes among which limits are divided", func() float64 { return float64(n.roster.Count()) }),
		n.metrics.Gauge("open_requests", "requests of clients in progress", func() float64 { return float64(n.open.Load()) }),
		n.metrics.Gauge("duty_held", "1 while this node may act for the system", func() float64 {
			if n.holdsDuty() {
				return 1
			}
			return 0
		}),
	)
}

func (n *Node) agreed() time.Time { return n.members.AgreedTime(time.Now()) }

func (n *Node) stopping() bool { return n.stopAt.Load() != 0 }

// Reload puts newer settings in force: limits, seeds and times. Names and
// addresses stay those of the start.
func (n *Node) Reload(set Settings) {
	n.budget.SetLimits(set.Retries.Ratio, set.Retries.Extra)
	n.quota.SetTolerance(admit.Tolerance(set.Quota))
	n.reloaded.Store(&set)
}

// settings are those in force.
func (n *Node) settings() *Settings { return n.reloaded.Load() }

// Run serves until ctx ends, then stops in order.
func (n *Node) Run(ctx context.Context) error {
	work, end := context.WithCancel(context.Background())
	defer end()
	if err := n.listen(); err != nil {
		return err
	}
	klog.InfoS("started", "node", n.set.Node, "callers", n.set.Listen.Callers)
	go n.view.Follow(work, sparingStore{n.store, n.fed}, "")
	go n.peers.Run(work)
	go n.applyLoop(work)
	go process.Every(work, stepEvery, n.spread)
	go n.backstopLoop(work)
	go n.deafLoop(work)
	registering, endRegistering := context.WithCancel(work)
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		n.registerLoop(registering)
	}()
	if n.set.Duties.Usage || n.set.Duties.Scale {
		go n.dutyLoop(work)
	}
	<-ctx.Done()
	n.stop()
	endRegistering()
	<-registered
	n.unregister()
	return nil
}

// listen opens every address of the settings.
func (n *Node) listen() error {
	callers := mux.NewRouter().SkipClean(true).UseEncodedPath()
	callers.PathPrefix("/").HandlerFunc(n.serve)
	handlers := map[string]*mux.Router{n.set.Listen.Callers: callers}
	on := func(address string) *mux.Router {
		if handlers[address] == nil {
			handlers[address] = mux.NewRouter()
		}
		return handlers[address]
	}
	on(n.set.Listen.Peers).PathPrefix(cluster.ClusterPathPrefix).Handler(n.peers.Handler())
	on(n.set.Listen.Peers).HandleFunc("/debug/state", n.dump)
	if n.set.Listen.Metrics != "" {
		on(n.set.Listen.Metrics).Handle("/metrics", n.metrics.Handler())
	}
	if n.set.Listen.Ready != "" {
		on(n.set.Listen.Ready).HandleFunc(n.platform.ReadinessPath(), n.readiness)
	}
	if n.set.Listen.Directory != "" {
		on(n.set.Listen.Directory).HandleFunc(n.platform.ResolvePath(), n.resolve)
	}
	for address, handler := range handlers {
		if err := n.listenOn(address, handler); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) listenOn(address string, handler http.Handler) error {
	listener, err := listenTCP(address)
	if err != nil {
		return oops.Wrapf(err, "listen on %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleConnection, MaxHeaderBytes: headerMost, ErrorLog: quietLog()}
	n.servers = append(n.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "listener_lost", "address", address)
		}
	}()
	return nil
}

// serve answers one request of a client.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	n.open.Add(1)
	defer n.open.Add(-1)
	if refused := n.handle(w, r, arrived); refused != nil {
		n.refuse(w, r, refused)
	}
}

func (n *Node) handle(w http.ResponseWriter, r *http.Request, arrived time.Time) *refusal {
	if stop := n.stopAt.Load(); stop != 0 && arrived.UnixNano()-stop > int64(refuseAfter) {
		return &refusal{status: http.StatusServiceUnavailable, code: codeStopping, wait: 50 * time.Millisecond, close: true}
	}
	a, refused := n.check(w, r, arrived)
	if refused != nil {
		return refused
	}
	if c := a.customer; c != nil && c.Rate > 0 {
		if ok, wait := n.quota.Take(c.Name, a.cost(), a.priority, c.Rate, c.Burst, time.Now()); !ok {
			inputs := []any{"customer", c.Name, "cost", a.cost(), "rate", c.Rate, "priority", a.priority, "members", n.roster.Count()}
			return &refusal{status: http.StatusTooManyRequests, code: codeQuota, wait: wait, inputs: inputs}
		}
		if n.quota.NeedsReport(c.Name, c.Rate) {
			n.peers.TriggerExchange()
		}
	}
	return n.forward(w, a)
}

// refuse gives the gateway's own answer.
func (n *Node) refuse(w http.ResponseWriter, r *http.Request, f *refusal) {
	n.metrics.Refused(f.code)
	line := []any{"id", r.Header.Get(n.headers.RequestID), "status", f.status, "code", f.code, "wait_ms", f.wait.Milliseconds(), "version", n.version()}
	klog.InfoS("refused", append(line, f.inputs...)...)
	if f.wait > 0 {
		seconds := math.Ceil(f.wait.Seconds()*1000) / 1000
		w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	if id := r.Header.Get(n.headers.RequestID); id != "" {
		w.Header().Set(n.headers.RequestID, id)
	}
	if f.close || n.stopping() {
		w.Header().Set("Connection", "close")
	}
	http.Error(w, f.code, f.status)
}

func (n *Node) version() int64 {
	if t := n.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// choose picks the server for the next send, and tells how many tokens of the
// prompt it will have to read.
func (n *Node) choose(a *ask, avoid map[string]bool) (*upstream, int64, bool) {
	list := n.fleet.candidates(a.service, avoid)
	n.rngMu.Lock()
	defer n.rngMu.Unlock()
	if a.route.Sticky {
		c, unread, ok := chooseEngine(list, prompt{a.parts, a.tokensIn, n.beliefs.holds}, n.set.FailureDomain, n.rng)
		a.ahead = c.unread
		return c.upstream, unread, ok
	}
	c, ok := leastLoaded(list, n.set.FailureDomain, n.rng)
	return c.upstream, a.tokensIn, ok
}

func (n *Node) serverLeft(s *upstream) {
	if n.fleet.leave(s) {
		klog.InfoS("server_left", "server", s.id, "by", "answer")
	}
}

// raiseIncarnation makes the own record later than those of an earlier life.
func (n *Node) raiseIncarnation(above int64) {
	own := n.incarnation.Load()
	if own < above && n.incarnation.CompareAndSwap(own, above+1) {
		klog.InfoS("incarnation_raised", "from", own, "to", above+1)
	}
}

// connectionsSilent takes it, when kept connections to peers fell silent while
// new ones work, that those to the servers did as well.
func (n *Node) connectionsSilent(peer string) {
	general := n.silence.general(peer, n.roster.Count()-1, time.Now())
	klog.InfoS("connections_silent", "peer", peer, "general", general)
	if general {
		n.fleet.dropIdle()
	}
}

// readiness tells the platform whether clients may be sent here.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if n.stopping() || n.table.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// resolve tells a client which addresses to use.
func (n *Node) resolve(w http.ResponseWriter, _ *http.Request) {
	var addresses []string
	if !n.stopping() {
		addresses = append(addresses, n.set.Listen.Callers)
	}
	addresses = append(addresses, n.members.Callers(addressesMost-1)...)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.platform.Resolve(addresses, n.settings().AddressTTL))
}

// dump tells the process's whole state.
func (n *Node) dump(w http.ResponseWriter, _ *http.Request) {
	complete, source := n.view.Complete()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"node": n.set.Node, "version": n.version(), "revision": complete, "source": source, "open": n.open.Load(),
		"stopping": n.stopping(), "members": n.members.All(), "loads": fmt.Sprint(n.fleet.loads()),
	})
}

// stop ends the node in order: no longer listed, serving what still comes
// for a while, then done when nothing is in progress or the time is over.
func (n *Node) stop() {
	began := time.Now()
	n.stopAt.Store(began.UnixNano())
	klog.InfoS("stopping", "node", n.set.Node, "open", n.open.Load())
	ctx, cancel := context.WithTimeout(context.Background(), duty.CallTimeout)
	n.lease.Close(ctx)
	cancel()
	grace := n.settings().Grace
	end := began.Add(grace - stopMargin)
	quiet := min(refuseAfter+time.Second, grace/2)
	for time.Now().Before(end) {
		if time.Since(began) > quiet && n.open.Load() == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	klog.InfoS("stopped", "node", n.set.Node, "open", n.open.Load(), "after_ms", time.Since(began).Milliseconds())
	klog.Flush()
}

func newReader(raw []byte) io.Reader { return bytes.NewReader(raw) }
