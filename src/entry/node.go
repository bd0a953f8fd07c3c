// Package entry assembles and runs a crank-entry node.
package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/admit"
	"github.com/crankridge/crankridge/src/caller"
	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/claim"
	"github.com/crankridge/crankridge/src/engine"
	"github.com/crankridge/crankridge/src/member"
	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/process"
	"github.com/crankridge/crankridge/src/serve"
	"github.com/crankridge/crankridge/src/settings"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/upstream"
	"github.com/crankridge/crankridge/src/view"
)

const (
	engineDialTimeout   = time.Second
	engineTimeout       = 2 * time.Second // of a control call; does not limit generation requests
	sweepInterval       = time.Second
	reclaimPollInterval = time.Second
	noticeQueueSize     = 1024
)

// Node is one crank-entry process.
type Node struct {
	settings          settings.Entry
	self              member.Node
	kv                *ports.KV
	cloud             *ports.Cloud
	kvTraffic         telemetry.Traffic
	peerServerTraffic telemetry.Traffic
	view              *view.View
	fleet             *member.Fleet
	registrar         *member.Registrar
	registry          *upstream.Registry
	pool              *peer.Pool
	ledger            *claim.Ledger
	limiter           *admit.Limiter
	metrics           *telemetry.Metrics
	coord             *serve.Coordinator
	callers           *caller.Server
	notices           chan notice
	probeOffset       int // round-robin position of the next probe
	shardsToSync      chan int
	startedAt         time.Time
	reclaimed         chan time.Time // receives the deadline of a reclaim notice
}

// New creates a node without starting it.
func New(cfg settings.Entry) (*Node, error) {
	metrics, err := telemetry.NewMetrics("crank-entry")
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: cfg, metrics: metrics, view: view.New(), startedAt: time.Now(),
		notices: make(chan notice, noticeQueueSize), shardsToSync: make(chan int, 4096), reclaimed: make(chan time.Time, 1),
	}
	n.self = member.Node{
		Name: cfg.Node.Name, Incarnation: uuid.NewString()[:8], VM: cfg.Node.VM, FailureDomain: cfg.Node.FailureDomain, Region: cfg.Node.Region,
		Callers: cfg.Advertise.Callers, Peers: cfg.Advertise.Peers, Operators: cfg.Advertise.Operators,
	}
	n.kv = ports.NewKV(cfg.KV.URL, cfg.KV.Timeout, n.kvTraffic.Dial(cfg.KV.Timeout))
	if cfg.Cloud.URL != "" {
		n.cloud = ports.NewCloud(cfg.Cloud.URL, cfg.Cloud.Timeout)
	}
	n.fleet = member.NewFleet(cfg.Node.Name, time.Now)
	n.registrar = member.NewRegistrar(n.kv, n.self, cfg.Exchange.Lease)
	n.registry = upstream.NewRegistry(time.Now, n.onUpstreamLeaving)
	n.pool = peer.NewPool(cfg.Secrets.Peer)
	n.limiter = admit.NewLimiter(cfg.Node.Name)
	keeper := claim.Node{Name: n.self.Name, Incarnation: n.self.Incarnation, Addr: n.self.Peers, FailureDomain: n.self.FailureDomain, VM: n.self.VM}
	n.ledger = claim.NewLedger(keeper, claim.Limits{Retention: cfg.Claims.Window, MaxRecords: cfg.Claims.Records, AnswerBytes: cfg.Claims.KeptBytes})
	n.coord = &serve.Coordinator{
		Self: keeper, Settings: cfg, Fleet: n.fleet, Registry: n.registry, Pool: n.pool, Ledger: n.ledger, Attempts: claim.NewAttempts(),
		Engines: engine.NewClient(engineDialTimeout, engineTimeout), Metrics: metrics, Limiter: n.limiter, Now: time.Now,
	}
	n.coord.Start()
	n.callers = caller.NewServer(n.coord, n.fleet, cfg, n.ready, n.revision)
	return n, nil
}

func (n *Node) revision() int64 {
	rev, _ := n.view.Complete()
	return rev
}

// ready reports whether the configuration and the shard map are loaded.
func (n *Node) ready() bool { return n.revision() > 0 && n.coord.Shards() != nil }

// Run serves until ctx ends or a reclaim notice arrives, then shuts down gracefully
// within the address TTL and grace period, or by the deadline of the notice.
func (n *Node) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	klog.InfoS("started", "node", n.self.Name, "incarnation", n.self.Incarnation, "domain", n.self.FailureDomain, "callers", n.self.Callers)
	registerCtx, unregister := context.WithCancel(runCtx)
	unregistered := make(chan struct{})
	go func() { n.registrar.Run(registerCtx); close(unregistered) }()
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { n.view.Follow(ctx, n.kv, view.Prefix) },
		n.applyLoop, n.exchangeLoop, n.notifyLoop, n.mapLoop, n.syncShardsLoop, n.coord.PollEngines, n.sweepLoop, n.reclaimLoop,
	} {
		go loop(runCtx)
	}
	var deadline time.Time
	select {
	case <-ctx.Done():
		deadline = time.Now().Add(n.settings.Stop.TTL + n.settings.Stop.Grace)
	case deadline = <-n.reclaimed:
	}
	n.stop(deadline)
	unregister()
	<-unregistered
	for _, s := range servers {
		_ = s.Close()
	}
	klog.InfoS("stopped", "node", n.self.Name, "open", n.coord.OpenRequests())
	return nil
}

// stop shuts down in stages: it marks the node as leaving, serves new requests
// while clients may still hold its address, then refuses them, waits for open
// requests and the handover of shards, and cancels what remains.
func (n *Node) stop(deadline time.Time) {
	klog.InfoS("leaving", "node", n.self.Name, "until", deadline.Format(time.RFC3339Nano), "open", n.coord.OpenRequests())
	n.callers.SetPhase(caller.Leaving)
	n.registrar.SetLeaving()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	refuseAt := time.Now().Add(n.settings.Stop.TTL)
	// With a short deadline, reserves half of the time for the handover.
	if half := time.Now().Add(time.Until(deadline) / 2); half.Before(refuseAt) {
		refuseAt = half
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(refuseAt)):
	}
	n.callers.SetPhase(caller.Refusing)
	n.coord.WaitIdle(ctx)
	n.waitForHandover(ctx)
	// Tells the callers of the remaining requests to continue on another node.
	n.coord.CancelAll()
	finalCtx, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	n.coord.WaitIdle(finalCtx)
}

// waitForHandover waits until this node keeps no shards or no other node can take
// them over.
func (n *Node) waitForHandover(ctx context.Context) {
	for ctx.Err() == nil && n.keepsAnyShard() && n.hasSuccessor() {
		select {
		case <-ctx.Done():
		case <-n.view.Changed():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (n *Node) hasSuccessor() bool {
	for _, node := range n.fleet.Nodes() {
		if node.Name != n.self.Name && !node.Leaving && n.fleet.FailingFor(node.Name) == 0 {
			return true
		}
	}
	return false
}

func (n *Node) keepsAnyShard() bool {
	m := n.coord.Shards()
	if m == nil {
		return false
	}
	for _, s := range m.Shards {
		for _, list := range [][]claim.Node{s.Keepers, s.Source} {
			for _, k := range list {
				if k.Name == n.self.Name && k.Incarnation == n.self.Incarnation {
					return true
				}
			}
		}
	}
	return false
}

func (n *Node) listen() ([]*http.Server, error) {
	peerServer := peer.NewPeerServer(n)
	endpoints := []struct {
		addr    string
		handler http.Handler
		traffic *telemetry.Traffic
	}{
		{n.settings.Listen.Callers, n.callers.Handler(), nil},
		{n.settings.Listen.Peers, peer.RequireSecret(n.settings.Secrets.Peer, peerServer), &n.peerServerTraffic},
		{n.settings.Listen.Operators, n.operatorHandler(), nil},
	}
	var servers []*http.Server
	for _, endpoint := range endpoints {
		ln, err := net.Listen("tcp", endpoint.addr)
		if err != nil {
			return nil, err
		}
		if endpoint.traffic != nil {
			ln = endpoint.traffic.Listen(ln)
		}
		srv := &http.Server{Handler: endpoint.handler, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: n.settings.Limits.HeaderBytes, IdleTimeout: 2 * time.Minute}
		servers = append(servers, srv)
		go func() { _ = srv.Serve(ln) }()
	}
	return servers, nil
}

// applyLoop updates the nodes, catalog, upstreams and shard map from the view
// whenever it changes.
func (n *Node) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.view.Changed()
		n.apply()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (n *Node) apply() {
	n.fleet.Update(n.view)
	snap, invalid := catalog.NewSnapshot(n.view.List(catalog.ConfigPrefix))
	for _, key := range invalid {
		klog.ErrorS(nil, "broken_resource", "key", key)
	}
	n.coord.SetCatalog(snap)
	var domains []upstream.DomainUpstreams
	for _, it := range n.view.List(upstream.Prefix) {
		if d, err := upstream.DecodeDomainUpstreams(it.Value); err == nil {
			domains = append(domains, d)
		}
	}
	n.registry.Replace(domains)
	if it, ok := n.view.Get(claim.MapKey); ok {
		n.applyMap(it)
	}
}

func (n *Node) applyMap(it ports.Item) {
	m, err := claim.DecodeMap(it.Value)
	if err != nil {
		klog.ErrorS(err, "broken_shard_map")
		return
	}
	for _, shard := range n.coord.SetShards(m) {
		select {
		case n.shardsToSync <- shard:
		default:
			klog.InfoS("shard_sync_dropped", "shard", shard)
		}
	}
}

// syncShardsLoop fetches the records of shards newly assigned to this node and
// retries on failure.
func (n *Node) syncShardsLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case shard := <-n.shardsToSync:
			if !n.coord.SyncShard(ctx, shard) {
				time.AfterFunc(200*time.Millisecond, func() {
					select {
					case n.shardsToSync <- shard:
					default:
						klog.InfoS("shard_sync_dropped", "shard", shard)
					}
				})
			}
		}
	}
}

// sweepLoop periodically removes expired state and updates the estimate of the
// load that the other nodes send.
func (n *Node) sweepLoop(ctx context.Context) {
	process.Every(ctx, sweepInterval, func() {
		n.coord.Sweep()
		n.registry.SetPeerLoadFactor(n.peerLoadFactor())
	})
}

// peerLoadFactor returns the open requests of the other nodes relative to those of
// this node, at most the number of other nodes, scaled by the fraction of engines
// that this node uses.
func (n *Node) peerLoadFactor() float64 {
	load, others := 0, 0
	for _, node := range n.fleet.Nodes() {
		if node.Name != n.self.Name {
			load += n.fleet.Load(node.Name)
			others++
		}
	}
	factor := min(float64(load)/float64(max(n.coord.OpenRequests(), 1)), float64(others))
	engines := len(n.registry.Names(upstream.KindEngine))
	if size := n.settings.Routing.Subset; size > 0 && size < engines {
		factor *= float64(size) / float64(engines)
	}
	return factor
}

// reclaimLoop polls the cloud for a reclaim notice of this VM.
func (n *Node) reclaimLoop(ctx context.Context) {
	if n.cloud == nil || n.settings.Node.VM == "" {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	process.Every(ctx, reclaimPollInterval, func() {
		if deadline, ok, err := n.cloud.ReclaimNotice(ctx, n.settings.Node.VM); err == nil && ok {
			n.reclaimed <- deadline
			cancel()
		}
	})
}
