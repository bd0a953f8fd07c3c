package gateway

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
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
	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/memory"
	"github.com/crankridge/crankridge/src/origin"
	"github.com/crankridge/crankridge/src/process"
	"github.com/crankridge/crankridge/src/quarantine"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/traffic"
	"github.com/crankridge/crankridge/src/view"
)

// Keys in the store that the gateway owns.
const (
	ownPrefix    = "crankridge/"
	nodePrefix   = ownPrefix + "nodes/" // the values are nodeEntry; those under member.Prefix, of the same text, are member.Node
	dutyLeaseKey = ownPrefix + "duty"
	usageKey     = ownPrefix + "usage"   // the value is a duty.UsageRecord
	startPrefix  = ownPrefix + "starts/" // followed by the node; the values are startRecord
)

// Intervals, timeouts and limits of a node.
const (
	stepInterval             = 250 * time.Millisecond
	storeCheckInterval       = 3 * time.Second
	watchLagLimit            = 700 * time.Millisecond // time for a watch to deliver a change that a read or a peer has seen
	maxDrainPeriod           = 3 * time.Second        // from the stop signal until new requests are refused, if the grace period is long
	stopMargin               = 400 * time.Millisecond // left of the grace period when the node stops waiting for requests
	defaultClientIdleTimeout = 2 * time.Minute        // if the configuration names none
	peerConnIdleTimeout      = 2 * time.Minute        // of connections to the other listeners
	headerTimeout            = 30 * time.Second
	maxHeaderBytes           = 64 << 10
	maxAddresses             = 64 // returned to a client
)

// Node is one gateway process.
type Node struct {
	initial  Settings // as at startup
	platform Platform
	store    Store
	headers  traffic.Headers // header names

	view           *view.View                    // this node's copy of the store
	table          atomic.Pointer[traffic.Table] // nil until a configuration has been applied
	upstreams      *upstreamPool
	members        *cluster.Members // records of the known nodes
	roster         *cluster.Roster  // nodes among which limits are divided
	peers          *cluster.Node    // exchange with the other nodes
	quota          *admit.SharedLimiter
	retryBudget    *request.WindowBudget
	usage          *usageCounter // requests executed through this node
	usageRecord    usageRecord   // as in the view
	bodyWaits      *bodyWaits
	ledger         *duty.Ledger // requests executed through all nodes
	lease          *duty.Lease  // entitles its holder to perform the duties
	usageReporter  *duty.UsageReporter
	provisioner    *capacity.Provisioner // sends orders for servers
	scaler         *scaler               // demand data from which the orders are computed
	cacheTracker   *cacheTracker
	stalledConns   stalledConnDetector // of peers
	stalledServers stalledConnDetector
	prober         *prober
	forwardPeers   *forwardPeers // nodes to forward requests to
	crashes        *crashDetector
	quarantine     *quarantine.List       // requests suspected of crashing servers
	suspectRuns    suspectRuns            // copies of them in progress
	streams        *origin.Memory         // where streams began
	shortages      versionShortages       // versions that lack places for streams bound to them
	historyReads   *historyReads          // of the versions that services have had
	versionWrites  versionWrites          // of new versions, for requests that wait
	streamWriter   streamWriter           // owned by storeStreams
	limits         *admit.UpstreamLimiter // limits that servers have named
	held           *memory.Budget         // bodies that are held for requests

	startedAt      time.Time
	incarnation    atomic.Int64
	sequence       atomic.Int64
	openRequests   atomic.Int64
	stopAt         atomic.Int64                        // Unix nanoseconds of the stop signal; 0 before it
	storedSuspects atomic.Pointer[[]quarantine.Stored] // as in the view
	configRevision int64                               // revision of the last configuration seen
	rngMu          sync.Mutex
	rng            *rand.Rand
	httpServers    []*http.Server
	metrics        *telemetry.GatewayMetrics
	current        atomic.Pointer[Settings] // as after the last reload

	reportedReach  map[string]reach         // owned by reachStep: poor reaches at its last call
	registration   registration             // owned by registerLoop, then by Run
	historyDue     map[string]time.Time     // owned by historyStep: when this node writes the history of a service
	decodedServers map[string]decodedServer // by key; owned by applyLoop
	restored       map[string]int64         // revisions of the stored streams that are known, by key; owned by applyLoop
}

// New creates a node.
func New(settings Settings, platform Platform) (*Node, error) {
	metrics, err := telemetry.NewGatewayMetrics()
	if err != nil {
		return nil, err
	}
	now := clock.Now()
	n := &Node{
		initial: settings, platform: platform, store: platform.Store(), headers: platform.Headers(), view: view.New(), upstreams: newUpstreamPool(clock.Now),
		members: cluster.NewMembers(settings.Node, clock.Now), roster: cluster.NewRoster(settings.Node, clock.Now), quota: admit.NewSharedLimiter(now, admit.Tolerance(settings.Quota), settings.FirstStart),
		retryBudget: request.NewWindowBudget(settings.Retries.Ratio, settings.Retries.Extra, settings.Retries.Window, settings.FirstStart),
		ledger:      duty.NewLedger(), metrics: metrics, scaler: newScaler(), quarantine: quarantine.NewList(clock.Now), limits: admit.NewUpstreamLimiter(settings.Node), cacheTracker: newCacheTracker(clock.Now), startedAt: now, rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	n.streams = origin.NewMemory(clock.Now)
	n.held = newHeldBudget(settings.MemoryBytes)
	n.bodyWaits = newBodyWaits()
	n.historyDue = map[string]time.Time{}
	n.historyReads = newHistoryReads(n.store, n.roster.Count)
	n.restored = map[string]int64{}
	n.view.SetUnshared(streamsPrefix)
	n.streamWriter.key = streamsPrefix + settings.Node + "/" + strconv.FormatInt(now.UnixMicro(), 10)
	n.versionWrites.running = map[string]chan struct{}{}
	n.upstreams.confirmedAt = n.viewConfirmedAt
	n.prober = newProber()
	n.forwardPeers = newForwardPeers()
	n.crashes = newCrashDetector(n.upstreams, n.prober)
	n.usage = newUsageCounter(settings.Duties.UsageWindow, settings.Duties.UsageLate, n.clusterTime)
	n.peers = &cluster.Node{Members: n.members, View: n.view, Own: n.localRecord, Seeds: n.seeds, Entries: n.roster.Present, NeedsAllRecords: n.holdsLease, OnStalledConn: n.onStalledConn, RaiseIncarnation: n.raiseIncarnation, OnSuspects: n.applyReports, Streams: n.streams}
	n.incarnation.Store(now.UnixMicro())
	n.peers.OnProbe = n.probeForPeer
	n.peers.Start()
	n.crashes.askPeers = n.peers.ProbeByPeers
	n.lease = duty.NewLease(n.store, dutyLeaseKey, settings.Node, settings.Duties.Lease, clock.Exact)
	n.usageReporter = &duty.UsageReporter{
		Ledger: n.ledger, Lease: n.lease, Store: n.store, Sender: platform, Key: usageKey,
		Window: settings.Duties.UsageWindow, Late: settings.Duties.UsageLate, Clock: n.clusterTime, FirstStart: settings.FirstStart, AllHeard: n.members.AllHeard,
	}
	n.provisioner = &capacity.Provisioner{Lease: n.lease, Sender: platform, Now: clock.Now}
	n.registration = registration{store: n.store, key: nodePrefix + settings.Node, entry: nodeEntry{Peers: settings.Listen.Peers, FailureDomain: settings.FailureDomain}}
	n.current.Store(&settings)
	return n, n.registerGauges()
}

// registerGauges registers the gauges that read the state of the node.
func (n *Node) registerGauges() error {
	return errors.Join(
		n.metrics.Gauge("configuration_version", "version of the configuration in force", func() float64 { return float64(n.version()) }),
		n.metrics.Gauge("revision", "revision of the store up to which nothing is missing", func() float64 {
			complete, _ := n.view.Complete()
			return float64(complete)
		}),
		n.metrics.Gauge("members", "nodes among which limits are divided", func() float64 { return float64(n.roster.Count()) }),
		n.metrics.Gauge("unreachable_servers", "listed servers that this node cannot connect to", func() float64 { return float64(n.upstreams.unreachableCount()) }),
		n.metrics.Gauge("held_bytes", "bytes of bodies that are held for requests of clients", func() float64 { return float64(n.held.Used()) }),
		n.metrics.Gauge("open_requests", "requests of clients in progress", func() float64 { return float64(n.openRequests.Load()) }),
		n.metrics.Gauge("duty_held", "1 while this node may act for the system", func() float64 {
			if n.holdsLease() {
				return 1
			}
			return 0
		}),
	)
}

// viewConfirmedAt returns when this node's copy of the store was known to be complete last.
func (n *Node) viewConfirmedAt() time.Time {
	age, ok := n.view.ConfirmedAge()
	if !ok {
		return time.Time{}
	}
	return clock.Now().Add(-age)
}

func (n *Node) clusterTime() time.Time { return n.members.AgreedTime(clock.Now()) }

// Reload applies changes of Retries.Ratio, Retries.Extra, Quota, Seeds, Grace and
// AddressTTL. All other settings are fixed at startup.
func (n *Node) Reload(settings Settings) {
	n.retryBudget.SetLimits(settings.Retries.Ratio, settings.Retries.Extra)
	n.quota.SetTolerance(admit.Tolerance(settings.Quota))
	n.current.Store(&settings)
}

// settings returns the settings after the last reload.
func (n *Node) settings() *Settings { return n.current.Load() }

// Run serves until ctx is canceled, then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.listen(); err != nil {
		return err
	}
	go process.Every(background, clock.PollInterval, clock.Poll)
	clock.OnResume(func(time.Duration) {
		n.upstreams.recordResume()
		n.upstreams.closeIdleConnections() // the servers may have closed them
	})
	klog.InfoS("started", "node", n.initial.Node, "callers", n.initial.Listen.Callers)
	go n.view.Follow(background, hubAwareStore{n.store, n.receivesHubUpdates, n.storeDelay}, "")
	go process.Every(background, hubConfirmInterval/2, func() { n.confirmHubView(background) })
	go n.peers.Run(background)
	go n.applyLoop(background)
	go process.Every(background, stepInterval, n.applyPeerState)
	go n.storeCheckLoop(background)
	go n.recordStart(background)
	go process.Every(background, reachInterval, n.reachStep)
	go process.Every(background, stepInterval, func() { n.storeSuspects(background) })
	go process.Every(background, stepInterval, func() { n.historyStep(background) })
	go process.Every(background, streamsInterval/3, func() { n.storeStreams(background) })
	go process.Every(background, stopPollInterval, n.upstreams.pollStop)
	go n.stalledWatchLoop(background)
	registering, stopRegistering := context.WithCancel(background)
	registered := make(chan struct{})
	go func() {
		defer close(registered)
		n.registerLoop(registering)
	}()
	if n.initial.Duties.Usage || n.initial.Duties.Scale {
		go n.dutyLoop(background)
	}
	<-ctx.Done()
	n.stop()
	stopRegistering()
	<-registered
	n.unregister()
	return nil
}

// listen starts a listener on every address in the settings.
func (n *Node) listen() error {
	callers := mux.NewRouter().SkipClean(true).UseEncodedPath()
	callers.PathPrefix("/").HandlerFunc(n.serve)
	handlers := map[string]*mux.Router{n.initial.Listen.Callers: callers}
	routerFor := func(address string) *mux.Router {
		if handlers[address] == nil {
			handlers[address] = mux.NewRouter().SkipClean(true).UseEncodedPath()
		}
		return handlers[address]
	}
	routerFor(n.initial.Listen.Peers).PathPrefix(cluster.ClusterPathPrefix).Handler(n.peers.Handler())
	routerFor(n.initial.Listen.Peers).HandleFunc("/debug/state", n.debugState)
	routerFor(n.initial.Listen.Peers).PathPrefix(forwardPrefix + "/").Handler(http.StripPrefix(forwardPrefix, http.HandlerFunc(n.serveForwarded)))
	if n.initial.Listen.Metrics != "" {
		routerFor(n.initial.Listen.Metrics).Handle("/metrics", n.metrics.Handler())
	}
	if n.initial.Listen.Ready != "" {
		routerFor(n.initial.Listen.Ready).HandleFunc(n.platform.ReadinessPath(), n.readiness)
	}
	if n.initial.Listen.Directory != "" {
		routerFor(n.initial.Listen.Directory).HandleFunc(n.platform.ResolvePath(), n.resolve)
	}
	for address, handler := range handlers {
		listen := listenTCP
		if address == n.initial.Listen.Peers {
			listen = listenForPeers
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: discardLog()}
		if address == n.initial.Listen.Callers {
			server.ConnState = newClientConns(n.clientIdleTimeout).onState
		} else {
			server.IdleTimeout = peerConnIdleTimeout
		}
		if err := n.listenOn(address, server, listen); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) listenOn(address string, server *http.Server, listen func(address string) (net.Listener, error)) error {
	listener, err := listen(address)
	if err != nil {
		return oops.Wrapf(err, "listen on %s", address)
	}
	n.httpServers = append(n.httpServers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "listener_lost", "address", address)
		}
	}()
	return nil
}

// serve handles one client request.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	arrived := clock.Now()
	n.openRequests.Add(1)
	defer n.openRequests.Add(-1)
	unlimitWrites(w) // the connection's last request has limited them
	if refused := n.handle(w, r, arrived); refused != nil {
		n.writeRefusal(w, r, refused, arrived)
	}
}

func (n *Node) handle(w http.ResponseWriter, r *http.Request, arrived time.Time) *refusal {
	if stopAt := n.stopAt.Load(); stopAt != 0 && arrived.UnixNano()-stopAt > int64(drainTime(n.settings().Grace)) {
		return &refusal{status: http.StatusServiceUnavailable, code: codeStopping, retryAfter: 50 * time.Millisecond, closeConn: true}
	}
	req, refused := n.parseRequest(r, arrived)
	if refused != nil {
		return refused
	}
	return n.admit(w, req)
}

// writeRefusal sends an error response generated by the gateway to a request that arrived at the
// given time.
func (n *Node) writeRefusal(w http.ResponseWriter, r *http.Request, refused *refusal, arrived time.Time) {
	n.metrics.Refused(refused.code)
	logValues := []any{"id", r.Header.Get(n.headers.RequestID), "status", refused.status, "code", refused.code, "after_ms", clock.Since(arrived).Milliseconds(), "wait_ms", refused.retryAfter.Milliseconds(), "version", n.version()}
	klog.InfoS("refused", append(logValues, refused.logValues...)...)
	if refused.retryAfter > 0 {
		seconds := math.Ceil(refused.retryAfter.Seconds()*1000) / 1000
		w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	if id := r.Header.Get(n.headers.RequestID); id != "" {
		w.Header().Set(n.headers.RequestID, id)
	}
	closes := answerBeforeBody(w, r)
	if refused.closeConn || closes || n.stopping() {
		w.Header().Set("Connection", "close")
	}
	http.Error(w, refused.code, refused.status)
}

func (n *Node) version() int64 {
	if t := n.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

func (n *Node) markDraining(s *upstream) {
	if n.upstreams.markDraining(s) {
		klog.InfoS("server_left", "server", s.id, "by", "answer")
	}
}

// raiseIncarnation makes the node's record supersede those of an earlier run.
func (n *Node) raiseIncarnation(above int64) {
	current := n.incarnation.Load()
	if current < above && n.incarnation.CompareAndSwap(current, above+1) {
		klog.InfoS("incarnation_raised", "from", current, "to", above+1)
	}
}

// onStalledConn closes idle connections to servers once connections to several
// peers have stalled, because those to servers have probably stalled as well.
func (n *Node) onStalledConn(peer string) {
	widespread := n.stalledConns.record(peer, n.roster.Count()-1, clock.Now())
	klog.InfoS("connections_silent", "peer", peer, "general", widespread)
	n.forwardPeers.transport.CloseIdleConnections()
	if widespread {
		n.upstreams.closeIdleConnections()
	}
}
