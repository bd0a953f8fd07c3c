package cluster

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/conn"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/view"
)

// Sizes and times of the exchange.
const (
	interval    = 250 * time.Millisecond
	callLimit   = 800 * time.Millisecond
	fanOut      = 8  // peers asked in one round
	seedsBelow  = 3  // seeds are asked as well while fewer nodes are known
	seedEvery   = 8  // rounds between asking a seed although nodes are known
	relayMost   = 12 // records passed on in one message
	idlePerPeer = 2
	idleTimeout = 10 * time.Second
)

// Node takes part in the exchange.
type Node struct {
	Members *Members
	View    *view.View
	Own     func() *Record // the node's record as it stands
	Seeds   func() []string
	Entries func() []Entry // nodes that are stored, this one included
	// NeedsAll tells whether the node needs the records of all others though
	// it is no hub; nil means never.
	NeedsAllRecords func() bool
	// Raise is called with the incarnation under which others know an earlier
	// life of this node. The own record must bear a higher one to be heard: the
	// clock may have stepped back between the lives. nil leaves it.
	RaiseIncarnation func(above int64)
	// OnSilent is called when a kept connection to a peer has fallen silent
	// and a new one works; nil means that nobody wants to know.
	OnStalledConn func(address string)

	client  *http.Client
	mu      sync.Mutex
	peers   map[string]Cluster
	busy    map[string]bool
	reached map[string]*telemetry.Dependency // by address
	avoided map[string]time.Time             // nodes that are no hubs, and until when
	nudged  chan struct{}
	asked   time.Time // when another node last asked for a summary
	round   int
}

// Start makes the node ready once its public fields are set.
func (n *Node) Start() {
	n.client = &http.Client{Transport: &conn.StallDetectingTransport{OnStalledConn: n.OnStalledConn, Transport: &http.Transport{
		DialContext: conn.Dialer(callLimit).DialContext, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}}
	n.peers = map[string]Cluster{}
	n.busy = map[string]bool{}
	n.reached = map[string]*telemetry.Dependency{}
	n.avoided = map[string]time.Time{}
	n.nudged = make(chan struct{}, 1)
}

// Run exchanges with peers until ctx ends.
func (n *Node) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := interval
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
		for _, one := range targets {
			go n.ask(ctx, one)
		}
		n.rest(ctx, wait+rand.N(wait/4), large)
	}
}

// rest waits until the next round. In a large system there may be a reason
// for it to come sooner.
func (n *Node) rest(ctx context.Context, wait time.Duration, sooner bool) {
	began := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	nudged := n.nudged
	if !sooner {
		nudged = nil
	}
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-nudged:
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(soonest))):
		}
	}
}

// Nudge lets the next round of a large system come soon.
func (n *Node) TriggerExchange() {
	select {
	case n.nudged <- struct{}{}:
	default: // one is waiting already
	}
}

// Large tells whether the system is too large for all nodes to exchange with
// all others.
func (n *Node) UsesHubs() bool { return n.Entries != nil && len(n.Entries()) > flatMost }

// Hub tells whether other nodes, or the duties, need this node to know all.
func (n *Node) IsHub() bool {
	n.mu.Lock()
	asked := time.Since(n.asked) < askedFor
	n.mu.Unlock()
	return asked || n.NeedsAllRecords != nil && n.NeedsAllRecords()
}

func (n *Node) hubTargets() []target {
	own := n.Own()
	return hubTargets(own.Node, own.FailureDomain, n.Entries(), n.avoid, n.IsHub())
}

func (n *Node) avoid(node string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.avoided[node])
}

// targets chooses whom to ask in this round in a small system.
func (n *Node) targets() []target {
	n.round++
	own := n.Own()
	var addresses []string
	others := n.Members.Others(forgetFor)
	for _, r := range others {
		addresses = append(addresses, r.Peers)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(len(addresses), fanOut)]
	seeds := n.Seeds()
	switch {
	case len(others) < seedsBelow:
		addresses = append(addresses, seeds...)
	case n.round%seedEvery == 0 && len(seeds) > 0:
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

// Ask exchanges records with the peer at address.
func (n *Node) Ask(ctx context.Context, address string) {
	n.ask(ctx, target{address: address, scope: Scope_LACKING})
}

// ask exchanges with a peer; a call still open is not doubled.
func (n *Node) ask(ctx context.Context, to target) {
	client, ok := n.claim(to.address)
	if !ok {
		return
	}
	defer n.release(to.address)
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := time.Now()
	answer, err := client.Exchange(ctx, n.question(to.scope))
	if err != nil || answer.GetOwn().GetLeaving() {
		n.setAvoided(to.node)
	}
	if err != nil {
		n.reach(to.address).Failed(err)
		return
	}
	n.reach(to.address).Succeeded()
	middle := sent.Add(time.Since(sent) / 2)
	n.take(answer, middle)
	if answer.Summary != nil {
		n.Members.TakeSummary(answer.Own, answer.Summary, middle)
	}
}

func (n *Node) setAvoided(node string) {
	if node == "" {
		return
	}
	n.mu.Lock()
	n.avoided[node] = time.Now().Add(avoidFor)
	n.mu.Unlock()
}

func (n *Node) claim(address string) (Cluster, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy[address] {
		return nil, false
	}
	n.busy[address] = true
	client := n.peers[address]
	if client == nil {
		client = NewClusterProtobufClient("http://"+address, n.client)
		n.peers[address] = client
	}
	return client, true
}

// reach is whether the peer at an address answers.
func (n *Node) reach(address string) *telemetry.Dependency {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := n.reached[address]
	if d == nil {
		d = &telemetry.Dependency{Name: "peer " + address, Now: time.Now}
		n.reached[address] = d
	}
	return d
}

func (n *Node) release(address string) {
	n.mu.Lock()
	delete(n.busy, address)
	n.mu.Unlock()
}

// Exchange answers a peer.
func (n *Node) Exchange(_ context.Context, m *Message) (*Message, error) {
	n.take(m, time.Now())
	n.Members.TakeDirect(m.Own)
	out := n.message()
	switch m.Scope {
	case Scope_SUMMARY:
		n.mu.Lock()
		n.asked = time.Now()
		n.mu.Unlock()
		out.Summary = n.Members.Summarize(m.GetOwn().GetNode(), time.Now())
	case Scope_DIRECT:
		n.addOthers(out, n.Members.Direct())
	default:
		n.addOthers(out, n.Members.Lacking(m.Known, m.GetOwn().GetNode(), relayMost))
	}
	if known := n.Members.later(m.Own); known != nil {
		out.Known = append(out.Known, known)
	}
	if m.Complete < out.Complete {
		n.addChanges(out, m.Complete)
	}
	return out, nil
}

// message makes a message with what every message carries.
func (n *Node) message() *Message {
	own := n.Own()
	n.Members.Take(own)
	complete, _ := n.View.Complete()
	return &Message{Own: own, Complete: complete, WallUs: time.Now().UnixMicro()}
}

// question makes the message that asks a peer.
func (n *Node) question(scope Scope) *Message {
	out := n.message()
	out.Scope = scope
	switch scope {
	case Scope_LACKING:
		out.Known = n.Members.Known()
	case Scope_DIRECT:
		hub, _ := hubOf(n.Entries(), out.Own.FailureDomain, n.avoid)
		if hub.Node != out.Own.Node {
			// The domain's hub may not hear the nodes that ask here instead.
			n.addOthers(out, n.Members.Direct())
		}
	}
	return out
}

// addOthers adds the records of other nodes, each with its age.
func (n *Node) addOthers(out *Message, members []Member) {
	for _, member := range members {
		out.Others = append(out.Others, member.Record)
		out.AgesMs = append(out.AgesMs, n.Members.Age(member).Milliseconds())
	}
}

// addChanges adds what the receiver's copy of the store lacks.
func (n *Node) addChanges(out *Message, from int64) {
	delta := n.View.DeltaSince(from)
	out.Complete, out.Whole = delta.Complete, delta.Whole
	for _, it := range delta.Items {
		out.Items = append(out.Items, &Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
}

func (n *Node) take(m *Message, at time.Time) {
	for _, k := range m.Known {
		if n.RaiseIncarnation != nil && k.Node == n.Members.self {
			n.RaiseIncarnation(k.Incarnation)
		}
	}
	n.Members.Take(m.Own)
	for i, r := range m.Others {
		n.Members.TakeAged(r, ageOf(m, i))
	}
	n.Members.Compare(m.GetOwn().GetNode(), time.UnixMicro(m.WallUs), at)
	if len(m.Items) == 0 && !m.Whole {
		return
	}
	delta := view.Delta{Complete: m.Complete, Whole: m.Whole}
	for _, it := range m.Items {
		delta.Items = append(delta.Items, ports.Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
	}
	n.View.ApplyPeer(delta)
}

// ageOf is how old a record was when the message was made.
func ageOf(m *Message, other int) time.Duration {
	if other >= len(m.AgesMs) {
		return 0
	}
	return time.Duration(m.AgesMs[other]) * time.Millisecond
}

// Handler serves the exchange.
func (n *Node) Handler() http.Handler { return NewClusterServer(n) }
