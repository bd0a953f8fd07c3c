package cluster

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/origin"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/view"
)

// Limits of the exchange.
const (
	exchangeInterval  = 250 * time.Millisecond // between rounds, except at nodes that use a hub (nodeInterval)
	callTimeout       = 800 * time.Millisecond
	fanout            = 8                // known nodes contacted per round
	minKnownNodes     = 3                // with fewer other nodes known, all seeds are contacted as well
	roundsPerSeed     = 8                // rounds between contacts with a seed once enough nodes are known
	maxMessageBytes   = 32 << 20         // of one message between nodes
	maxRelayedRecords = 12               // records of other nodes in one message
	maxIdlePerPeer    = 2                // connections
	idleTimeout       = 10 * time.Second // of a connection
)

// Node exchanges records and store changes with other nodes. Set the exported
// fields before calling Start.
type Node struct {
	Members *Members
	View    *view.View
	Own     func() *Record  // returns this node's current record
	Seeds   func() []string // peer addresses to contact besides the known nodes
	Entries func() []Entry  // nodes to exchange with, including this one
	// NeedsAllRecords reports whether this node needs the records of all other
	// nodes even if none requests a summary from it. nil means never.
	NeedsAllRecords func() bool
	// RaiseIncarnation is called with the incarnation under which other nodes
	// know this node from before a restart. They ignore its record until it has a
	// higher incarnation, which may not be the case if the clock stepped back in
	// between. It may be nil.
	RaiseIncarnation func(above int64)
	// OnStalledConn is called when a pooled connection to a peer has stalled and
	// a new one works. It may be nil.
	OnStalledConn func(address string)
	// OnSuspects is called when a peer has sent suspected requests or interruptions of
	// its own, or a hub those of all nodes. It may be nil.
	OnSuspects func()

	// OnProbe is called when another node asks for a probe of a server. It may be nil.
	OnProbe func(*ProbeRequest) *ProbeReply

	// Streams is what the nodes tell each other of where streams began. It may be nil.
	Streams *origin.Memory

	client           *http.Client
	mu               sync.Mutex
	clients          map[string]Cluster
	inFlight         map[string]bool
	dependencies     map[string]*telemetry.Dependency // by address
	avoidedUntil     map[string]time.Time             // nodes not to be chosen as hubs, and until when
	trigger          chan struct{}
	urgent           chan struct{}
	summaryRequested time.Time // when another node last requested a summary
	round            int
}

// Start initializes the node.
func (n *Node) Start() {
	transport := &conn.StallDetectingTransport{OnStalledConn: n.OnStalledConn, Transport: conn.NewTransport(&http.Transport{
		DialContext: conn.Dialer(callTimeout).DialContext, MaxIdleConnsPerHost: maxIdlePerPeer, IdleConnTimeout: idleTimeout, DisableCompression: true,
	})}
	n.client = &http.Client{Transport: &conn.LimitingTransport{RoundTripper: transport, MaxBytes: maxMessageBytes}}
	n.clients = map[string]Cluster{}
	n.inFlight = map[string]bool{}
	n.dependencies = map[string]*telemetry.Dependency{}
	n.avoidedUntil = map[string]time.Time{}
	n.trigger = make(chan struct{}, 1)
	n.urgent = make(chan struct{}, 1)
}

// Run exchanges with peers until ctx is canceled.
func (n *Node) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := exchangeInterval
		large := n.UsesHubs()
		var targets []target
		if large {
			targets = n.hubTargets()
		} else {
			targets = n.targets()
		}
		if large && !n.IsHub() {
			wait = nodeInterval
		}
		for _, to := range targets {
			go n.exchangeWith(ctx, to)
		}
		n.waitForRound(ctx, wait+rand.N(wait/4), large)
	}
}

// waitForRound waits until the next round. TriggerUrgentExchange can shorten the wait
// and, if triggerable is set, TriggerExchange.
func (n *Node) waitForRound(ctx context.Context, wait time.Duration, triggerable bool) {
	start := clock.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	trigger := n.trigger
	if !triggerable {
		trigger = nil
	}
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
		return
	case <-trigger:
	case <-n.urgent:
	}
	select {
	case <-ctx.Done():
	case <-time.After(clock.Until(start.Add(minRoundInterval))):
	}
}

// TriggerExchange starts the next round early if the system uses hubs.
func (n *Node) TriggerExchange() {
	select {
	case n.trigger <- struct{}{}:
	default: // a trigger is already pending
	}
}

// TriggerUrgentExchange starts the next round early.
func (n *Node) TriggerUrgentExchange() {
	select {
	case n.urgent <- struct{}{}:
	default: // a trigger is already pending
	}
}

// UsesHubs reports whether the system is too large for every node to exchange
// with every other.
func (n *Node) UsesHubs() bool { return n.Entries != nil && len(n.Entries()) > maxFlatNodes }

// IsHub reports whether this node collects the records of all nodes, either
// because other nodes request summaries from it or because NeedsAllRecords says so.
func (n *Node) IsHub() bool {
	n.mu.Lock()
	summaryRequested := clock.Since(n.summaryRequested) < hubTTL
	n.mu.Unlock()
	return summaryRequested || n.NeedsAllRecords != nil && n.NeedsAllRecords()
}

func (n *Node) hubTargets() []target {
	own := n.Own()
	return hubTargets(own.Node, own.FailureDomain, n.Entries(), n.isAvoided, n.IsHub())
}

func (n *Node) isAvoided(node string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return clock.Now().Before(n.avoidedUntil[node])
}

// targets selects the peers of one round in a system without hubs.
func (n *Node) targets() []target {
	n.round++
	own := n.Own()
	var addresses []string
	others := n.Members.Others(forgetTimeout)
	for _, r := range others {
		addresses = append(addresses, r.Peers)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), fanout)]
	seeds := n.Seeds()
	switch {
	case len(others) < minKnownNodes:
		addresses = append(addresses, seeds...)
	case n.round%roundsPerSeed == 0 && len(seeds) > 0:
		addresses = append(addresses, seeds[rand.IntN(len(seeds))])
	}
	seen := map[string]bool{own.Peers: true}
	var out []target
	for _, address := range addresses {
		if !seen[address] {
			seen[address] = true
			out = append(out, target{address: address, scope: Scope_LACKING})
		}
	}
	return out
}

// ExchangeWith exchanges records and store changes with the peer at address.
func (n *Node) ExchangeWith(ctx context.Context, address string) {
	n.exchangeWith(ctx, target{address: address, scope: Scope_LACKING})
}

// exchangeWith exchanges with one peer, unless a call to it is in progress.
func (n *Node) exchangeWith(ctx context.Context, to target) {
	client, ok := n.acquirePeer(to.address)
	if !ok {
		return
	}
	defer n.releasePeer(to.address)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := clock.Now()
	request := n.newRequest(to.scope)
	n.addStreams(request, to.address, true)
	reply, err := client.Exchange(ctx, request)
	if err != nil || reply.GetOwn().GetLeaving() {
		n.setAvoided(to.node)
	}
	if err != nil {
		n.dependency(to.address).Failed(err)
		return
	}
	n.dependency(to.address).Succeeded()
	midpoint := sent.Add(clock.Since(sent) / 2)
	n.mergeMessage(reply, midpoint)
	n.mergeStreams(reply, false)
	confirmed := confirmedAt(reply, sent)
	if reply.Summary != nil {
		n.acceptSummary(to.node, reply, midpoint, confirmed)
	}
	n.View.Confirm(reply.Complete, confirmed)
	if s := reply.GetSummary(); len(s.GetSuspects())+len(s.GetInterruptions()) > 0 {
		n.onSuspects()
	}
}

func (n *Node) onSuspects() {
	if n.OnSuspects != nil {
		n.OnSuspects()
	}
}

func (n *Node) setAvoided(node string) {
	if node == "" {
		return
	}
	n.mu.Lock()
	n.avoidedUntil[node] = clock.Now().Add(avoidPeriod)
	n.mu.Unlock()
}

func (n *Node) acquirePeer(address string) (Cluster, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.inFlight[address] {
		return nil, false
	}
	n.inFlight[address] = true
	client := n.clients[address]
	if client == nil {
		client = NewClusterProtobufClient("http://"+address, n.client)
		n.clients[address] = client
	}
	return client, true
}

// dependency returns the availability of the peer at address.
func (n *Node) dependency(address string) *telemetry.Dependency {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.dependencies[address]
	if d == nil {
		d = &telemetry.Dependency{Name: "peer " + address, Now: clock.Now}
		n.dependencies[address] = d
	}
	return d
}

func (n *Node) releasePeer(address string) {
	n.mu.Lock()
	delete(n.inFlight, address)
	n.mu.Unlock()
}

// Exchange implements Cluster.
func (n *Node) Exchange(_ context.Context, m *Message) (*Message, error) {
	n.mergeMessage(m, clock.Now())
	n.Members.MergeDirect(m.Own)
	n.mergeStreams(m, m.Scope == Scope_SUMMARY)
	out := n.newMessage()
	n.addStreams(out, m.GetOwn().GetPeers(), m.Scope != Scope_SUMMARY)
	switch m.Scope {
	case Scope_SUMMARY:
		n.mu.Lock()
		n.summaryRequested = clock.Now()
		n.mu.Unlock()
		out.Summary = n.Members.Summarize(m.GetOwn().GetNode(), clock.Now())
	case Scope_DIRECT:
		n.addOthers(out, n.Members.Direct())
	default:
		n.addOthers(out, n.Members.Lacking(m.Known, m.GetOwn().GetNode(), maxRelayedRecords))
	}
	if known := n.Members.laterIncarnation(m.Own); known != nil {
		out.Known = append(out.Known, known)
	}
	if m.Complete < out.Complete {
		n.addChanges(out, m.Complete)
	}
	return out, nil
}

// newMessage returns a message with the fields common to requests and replies.
func (n *Node) newMessage() *Message {
	own := n.Own()
	n.Members.Merge(own)
	complete, _ := n.View.Complete()
	out := &Message{Own: own, Complete: complete, WallUs: time.Now().UnixMicro()}
	if age, ok := n.View.ConfirmedAge(); ok {
		out.ConfirmedAgeMs = proto.Int64(ceilMilliseconds(age))
	}
	return out
}

// newRequest returns the message that requests the given scope from a peer.
func (n *Node) newRequest(scope Scope) *Message {
	out := n.newMessage()
	out.Scope = scope
	switch scope {
	case Scope_LACKING:
		out.Known = n.Members.Known()
	case Scope_DIRECT:
		hub, _ := selectHub(n.Entries(), out.Own.FailureDomain, n.isAvoided)
		if hub.Node != out.Own.Node {
			// Pass on the records of nodes that exchange with this node because they
			// cannot reach their hub.
			n.addOthers(out, n.Members.Direct())
		}
	}
	return out
}

// addOthers adds the records of other nodes and their ages.
func (n *Node) addOthers(out *Message, members []Member) {
	for _, member := range members {
		out.Others = append(out.Others, member.Record)
		out.AgesMs = append(out.AgesMs, n.Members.Age(member).Milliseconds())
	}
}

// addChanges adds the store changes after revision from.
func (n *Node) addChanges(out *Message, from int64) {
	delta := n.View.DeltaSince(from)
	out.Complete, out.Whole = delta.CompleteRevision, delta.IsSnapshot
	for _, it := range delta.Items {
		out.Items = append(out.Items, &Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
}

func (n *Node) mergeMessage(m *Message, at time.Time) {
	for _, k := range m.Known {
		if n.RaiseIncarnation != nil && k.Node == n.Members.self {
			n.RaiseIncarnation(k.Incarnation)
		}
	}
	n.Members.Merge(m.Own)
	for i, r := range m.Others {
		n.Members.MergeAged(r, recordAge(m, i))
	}
	n.Members.RecordClock(m.GetOwn().GetNode(), time.UnixMicro(m.WallUs), at)
	if len(m.GetOwn().GetSuspects())+len(m.GetOwn().GetInterruptions()) > 0 {
		n.onSuspects()
	}
	if len(m.Items) > 0 || m.Whole {
		delta := view.Delta{CompleteRevision: m.Complete, IsSnapshot: m.Whole}
		for _, it := range m.Items {
			delta.Items = append(delta.Items, ports.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
		}
		n.View.ApplyPeer(delta)
	}
}

// Handler returns the HTTP handler of the Cluster service.
func (n *Node) Handler() http.Handler {
	return http.MaxBytesHandler(NewClusterServer(n), maxMessageBytes)
}
