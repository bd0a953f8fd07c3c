package cluster

import (
	"context"
	"math/rand/v2"
)

// maxProbingPeers bounds the nodes that are asked to probe a server.
const maxProbingPeers = 8

// Probe implements Cluster.
func (n *Node) Probe(_ context.Context, r *ProbeRequest) (*ProbeReply, error) {
	if n.OnProbe == nil {
		return &ProbeReply{}, nil
	}
	return n.OnProbe(r), nil
}

// ProbeByPeers asks other nodes to probe a server, and returns the replies that arrive before
// ctx is done or one node has reached the server.
func (n *Node) ProbeByPeers(ctx context.Context, r *ProbeRequest) []*ProbeReply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := n.peerAddresses()
	replies := make(chan *ProbeReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := NewClusterProtobufClient("http://"+address, n.client).Probe(ctx, r)
			if err != nil {
				reply = nil // the exchange logs that the node does not respond
			}
			replies <- reply
		}()
	}
	var out []*ProbeReply
	for range addresses {
		reply := <-replies
		if reply == nil {
			continue
		}
		out = append(out, reply)
		if reply.Result == ProbeResult_REACHED {
			break
		}
	}
	return out
}

// peerAddresses returns the addresses of at most maxProbingPeers other nodes, in random order.
func (n *Node) peerAddresses() []string {
	var out []string
	known := map[string]bool{n.Members.self: true}
	for _, r := range n.Members.Others(AliveTimeout) {
		known[r.Node] = true
		out = append(out, r.Peers)
	}
	if n.UsesHubs() {
		for _, e := range n.Entries() {
			if !known[e.Node] {
				out = append(out, e.Peers)
			}
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxProbingPeers)]
}
