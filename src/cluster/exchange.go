package cluster

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/view"
)

// Sizes and times of the exchange.
const (
	interval      = 250 * time.Millisecond
	callLimit     = 800 * time.Millisecond
	fanOut        = 8  // peers asked in one round
	seedsBelow    = 3  // seeds are asked as well while fewer nodes are known
	seedEvery     = 8  // rounds between asking a seed although nodes are known
	relayMost     = 12 // records passed on in one message
	idlePerPeer   = 2
	idleTimeout   = 10 * time.Second
	keepAliveIdle = 3 * time.Second
)

// Node takes part in the exchange.
type Node struct {
	Members *Members
	View    *view.View
	Own     func() *Record // the node's record as it stands
	Seeds   func() []string

	client *http.Client
	mu     sync.Mutex
	peers  map[string]Cluster
	busy   map[string]bool
	round  int
}

// Start makes the node ready once its public fields are set.
func (n *Node) Start() {
	dialer := &net.Dialer{Timeout: callLimit, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: time.Second, Count: 2}}
	tr := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idlePerPeer, IdleConnTimeout: idleTimeout, DisableCompression: true}
	n.client = &http.Client{Transport: tr}
	n.peers = map[string]Cluster{}
	n.busy = map[string]bool{}
}

// Run exchanges with peers until ctx ends.
func (n *Node) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range n.targets() {
			go n.Ask(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval + rand.N(interval/4)):
		}
	}
}

// targets chooses whom to ask in this round.
func (n *Node) targets() []string {
	n.round++
	own := n.Own()
	var out []string
	others := n.Members.Others(forgetFor)
	for _, r := range others {
		out = append(out, r.Peers)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(len(out), fanOut)]
	seeds := n.Seeds()
	switch {
	case len(others) < seedsBelow:
		out = append(out, seeds...)
	case n.round%seedEvery == 0 && len(seeds) > 0:
		out = append(out, seeds[rand.IntN(len(seeds))])
	}
	seen := map[string]bool{own.Peers: true}
	kept := out[:0]
	for _, address := range out {
		if !seen[address] {
			seen[address] = true
			kept = append(kept, address)
		}
	}
	return kept
}

// Ask exchanges with the peer at address; a call still open is not doubled.
func (n *Node) Ask(ctx context.Context, address string) {
	client, ok := n.claim(address)
	if !ok {
		return
	}
	defer n.release(address)
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	sent := time.Now()
	answer, err := client.Exchange(ctx, n.message(nil, ""))
	if err != nil {
		klog.V(2).InfoS("peer_silent", "address", address, "err", err)
		return
	}
	middle := sent.Add(time.Since(sent) / 2)
	n.take(answer, middle)
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

func (n *Node) release(address string) {
	n.mu.Lock()
	delete(n.busy, address)
	n.mu.Unlock()
}

// Exchange answers a peer.
func (n *Node) Exchange(_ context.Context, m *Message) (*Message, error) {
	n.take(m, time.Now())
	return n.message(m, m.GetOwn().GetNode()), nil
}

// message makes a message; with what the peer said, also what it lacks.
func (n *Node) message(from *Message, peer string) *Message {
	own := n.Own()
	n.Members.Take(own)
	complete, _ := n.View.Complete()
	out := &Message{Own: own, Known: n.Members.Known(), Complete: complete, WallUs: time.Now().UnixMicro()}
	if from == nil {
		return out
	}
	out.Known = nil
	out.Others = n.Members.Lacking(from.Known, peer, relayMost)
	if from.Complete < complete {
		delta := n.View.Since(from.Complete)
		out.Complete, out.Whole = delta.Complete, delta.Whole
		for _, it := range delta.Items {
			out.Items = append(out.Items, &Item{Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted})
		}
	}
	return out
}

func (n *Node) take(m *Message, at time.Time) {
	n.Members.Take(m.Own)
	for _, r := range m.Others {
		n.Members.Take(r)
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

// Handler serves the exchange.
func (n *Node) Handler() http.Handler { return NewClusterServer(n) }
