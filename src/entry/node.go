// Package entry puts the parts of crank-entry together and runs them.
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
	engineDial    = time.Second
	engineTimeout = 2 * time.Second
	sweepEvery    = time.Second
	noticeEvery   = time.Second
	newsQueued    = 1024
)

// Node is one crank-entry process.
type Node struct {
	set       settings.Entry
	self      member.Node
	kv        *ports.KV
	cloud     *ports.Cloud
	kvTraffic telemetry.Traffic
	peerIn    telemetry.Traffic
	view      *view.View
	fleet     *member.Fleet
	registrar *member.Registrar
	registry  *upstream.Registry
	pool      *peer.Pool
	ledger    *claim.Ledger
	limiter   *admit.Limiter
	metrics   *telemetry.Metrics
	coord     *serve.Coordinator
	callers   *caller.Server
	news      chan news
	probed    int // nodes probed so far, in turn
	gather    chan int
	started   time.Time
	stopping  chan time.Time // a deadline set by a reclaim notice
}

// New builds a node; nothing runs yet.
func New(set settings.Entry) (*Node, error) {
	metrics, err := telemetry.NewMetrics("crank-entry")
	if err != nil {
		return nil, err
	}
	n := &Node{
		set: set, metrics: metrics, view: view.New(), started: time.Now(),
		news: make(chan news, newsQueued), gather: make(chan int, 4096), stopping: make(chan time.Time, 1),
	}
	n.self = member.Node{
		Name: set.Node.Name, Incarnation: uuid.NewString()[:8], VM: set.Node.VM, FailureDomain: set.Node.FailureDomain, Region: set.Node.Region,
		Callers: set.Advertise.Callers, Peers: set.Advertise.Peers, Operators: set.Advertise.Operators,
	}
	n.kv = ports.NewKV(set.KV.URL, set.KV.Timeout, n.kvTraffic.Dial(set.KV.Timeout))
	if set.Cloud.URL != "" {
		n.cloud = ports.NewCloud(set.Cloud.URL, set.Cloud.Timeout)
	}
	n.fleet = member.NewFleet(set.Node.Name, time.Now)
	n.registrar = member.NewRegistrar(n.kv, n.self, set.Exchange.Lease)
	n.registry = upstream.NewRegistry(time.Now, n.upstreamLeft)
	n.pool = peer.NewPool(set.Secrets.Peer)
	n.limiter = admit.NewLimiter(set.Node.Name)
	keeper := claim.Node{Name: n.self.Name, Incarnation: n.self.Incarnation, Addr: n.self.Peers, FailureDomain: n.self.FailureDomain, VM: n.self.VM}
	n.ledger = claim.NewLedger(keeper, claim.Limits{Window: set.Claims.Window, MaxRecords: set.Claims.Records, AnswerBytes: set.Claims.KeptBytes})
	n.coord = &serve.Coordinator{
		Self: keeper, Settings: set, Fleet: n.fleet, Registry: n.registry, Pool: n.pool, Ledger: n.ledger, Attempts: claim.NewAttempts(),
		Engines: engine.NewClient(engineDial, engineTimeout), Metrics: metrics, Limiter: n.limiter, Now: time.Now,
	}
	n.coord.Start()
	n.callers = caller.NewServer(n.coord, n.fleet, set, n.ready, n.revision)
	return n, nil
}

func (n *Node) revision() int64 {
	rev, _ := n.view.Complete()
	return rev
}

// ready says that there is configuration and, unless no request is ever
// marked not repeatable, that the shard map is known.
func (n *Node) ready() bool { return n.revision() > 0 && n.coord.Shards() != nil }

// Run serves until ctx ends, then stops as planned: it cuts off no request
// within the grace. A reclaim notice stops it too, within the notice.
func (n *Node) Run(ctx context.Context) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	servers, err := n.listen()
	if err != nil {
		return err
	}
	klog.InfoS("started", "node", n.self.Name, "incarnation", n.self.Incarnation, "domain", n.self.FailureDomain, "callers", n.self.Callers)
	registered, unregister := context.WithCancel(life)
	removed := make(chan struct{})
	go func() { n.registrar.Run(registered); close(removed) }()
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { n.view.Follow(ctx, n.kv, view.Prefix) },
		n.applyLoop, n.exchangeLoop, n.notifyLoop, n.mapLoop, n.gatherLoop, n.coord.PollEngines, n.sweepLoop, n.noticeLoop,
	} {
		go loop(life)
	}
	var deadline time.Time
	select {
	case <-ctx.Done():
		deadline = time.Now().Add(n.set.Stop.TTL + n.set.Stop.Grace)
	case deadline = <-n.stopping:
	}
	n.stop(deadline)
	unregister()
	<-removed
	for _, s := range servers {
		_ = s.Close()
	}
	klog.InfoS("stopped", "node", n.self.Name, "open", n.coord.OpenRequests())
	return nil
}

// stop leaves in order: no longer listed, still serving what arrives for the
// time promised, then refusing, until all requests have ended.
func (n *Node) stop(deadline time.Time) {
	klog.InfoS("leaving", "node", n.self.Name, "until", deadline.Format(time.RFC3339Nano), "open", n.coord.OpenRequests())
	n.callers.SetPhase(caller.Leaving)
	n.registrar.SetLeaving()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	promised := time.Now().Add(n.set.Stop.TTL)
	// Under a short notice half of it is served; the rest is for handing over.
	if half := time.Now().Add(time.Until(deadline) / 2); half.Before(promised) {
		promised = half
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(promised)):
	}
	n.callers.SetPhase(caller.Refusing)
	n.coord.WaitIdle(ctx)
	n.waitHandedOver(ctx)
	// What is still open goes on elsewhere: its callers are told so now.
	n.coord.CancelAll()
	last, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	n.coord.WaitIdle(last)
}

// waitHandedOver waits until this node keeps no shard any more, or nobody is
// left who could take one.
func (n *Node) waitHandedOver(ctx context.Context) {
	for ctx.Err() == nil && n.keepsAny() && n.heirs() {
		select {
		case <-ctx.Done():
		case <-n.view.Changed():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (n *Node) heirs() bool {
	for _, o := range n.fleet.Nodes() {
		if o.Name != n.self.Name && !o.Leaving && n.fleet.FailingFor(o.Name) == 0 {
			return true
		}
	}
	return false
}

func (n *Node) keepsAny() bool {
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
	surfaces := []struct {
		addr    string
		handler http.Handler
		count   *telemetry.Traffic
	}{
		{n.set.Listen.Callers, n.callers.Handler(), nil},
		{n.set.Listen.Peers, peer.RequireSecret(n.set.Secrets.Peer, peerServer), &n.peerIn},
		{n.set.Listen.Operators, n.operatorHandler(), nil},
	}
	var servers []*http.Server
	for _, s := range surfaces {
		ln, err := net.Listen("tcp", s.addr)
		if err != nil {
			return nil, err
		}
		if s.count != nil {
			ln = s.count.Listen(ln)
		}
		srv := &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: n.set.Limits.HeaderBytes, IdleTimeout: 2 * time.Minute}
		servers = append(servers, srv)
		go func() { _ = srv.Serve(ln) }()
	}
	return servers, nil
}

// applyLoop puts in force what the view learns.
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
	snap, broken := catalog.NewSnapshot(n.view.List(catalog.ConfigPrefix))
	for _, key := range broken {
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
		case n.gather <- shard:
		default:
		}
	}
}

// gatherLoop gets the records of shards that this node newly keeps.
func (n *Node) gatherLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case shard := <-n.gather:
			if !n.coord.SyncShard(ctx, shard) {
				time.AfterFunc(200*time.Millisecond, func() {
					select {
					case n.gather <- shard:
					default:
					}
				})
			}
		}
	}
}

func (n *Node) sweepLoop(ctx context.Context) {
	process.Every(ctx, sweepEvery, func() {
		n.coord.Sweep()
		n.registry.SetPeerLoadFactor(n.others())
	})
}

// others is what the other nodes have in progress, in multiples of this
// node's. A node that follows part of the engines meets that part of them.
func (n *Node) others() float64 {
	load, nodes := 0, 0
	for _, o := range n.fleet.Nodes() {
		if o.Name != n.self.Name {
			load += n.fleet.Load(o.Name)
			nodes++
		}
	}
	times := min(float64(load)/float64(max(n.coord.OpenRequests(), 1)), float64(nodes))
	engines := len(n.registry.Names(upstream.KindEngine))
	if size := n.set.Routing.Subset; size > 0 && size < engines {
		times *= float64(size) / float64(engines)
	}
	return times
}

// noticeLoop asks the platform whether this VM is taken back.
func (n *Node) noticeLoop(ctx context.Context) {
	if n.cloud == nil || n.set.Node.VM == "" {
		return
	}
	ctx, enough := context.WithCancel(ctx)
	defer enough()
	process.Every(ctx, noticeEvery, func() {
		if deadline, ok, err := n.cloud.ReclaimNotice(ctx, n.set.Node.VM); err == nil && ok {
			n.stopping <- deadline
			enough()
		}
	})
}
