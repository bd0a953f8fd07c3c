package cluster

import (
	"context"
	"slices"
	"time"

	"github.com/crankridge/crankridge/src/origin"
)

// addStreams adds what this node holds of the log of streams of the node at an address and, if
// tell is set, what that node lacks of this node's log.
func (n *Node) addStreams(out *Message, address string, tell bool) {
	if n.Streams == nil {
		return
	}
	held := n.Streams.Held(address)
	out.StreamsHeld = &LogPosition{LogId: held.LogID, Through: held.Through}
	if !tell {
		return
	}
	if batch := n.Streams.Unsent(address); len(batch.Entries) > 0 {
		out.Streams = encodeStreams(batch)
	}
}

// mergeStreams takes over what a message says of streams. relay passes them on to other nodes.
func (n *Node) mergeStreams(m *Message, relay bool) {
	address := m.GetOwn().GetPeers()
	if n.Streams == nil || address == "" {
		return
	}
	if held := m.StreamsHeld; held != nil {
		n.Streams.Acknowledge(address, origin.Position{LogID: held.LogId, Through: held.Through})
	}
	if m.Streams != nil {
		n.Streams.Merge(address, decodeStreams(m.Streams), relay)
	}
}

func encodeStreams(b origin.Batch) *StreamBatch {
	out := &StreamBatch{LogId: b.LogID, After: b.After, Through: b.Through}
	groups := map[origin.Origin]*StreamGroup{}
	for _, e := range b.Entries {
		group := groups[e.Origin]
		if group == nil {
			group = &StreamGroup{Service: e.Origin.Service, Version: e.Origin.Version}
			groups[e.Origin] = group
			out.Groups = append(out.Groups, group)
		}
		group.Keys = append(group.Keys, e.Key[:]...)
		group.TtlS = append(group.TtlS, ceilSeconds(e.TTL))
	}
	return out
}

// decodeStreams decodes a batch. Keys without a time to live are skipped.
func decodeStreams(in *StreamBatch) origin.Batch {
	out := origin.Batch{LogID: in.LogId, After: in.After, Through: in.Through}
	const size = len(origin.Key{})
	for _, group := range in.Groups {
		at := origin.Origin{Service: group.Service, Version: group.Version}
		for i, ttl := range group.TtlS {
			if len(group.Keys) < (i+1)*size {
				break
			}
			key := origin.Key(group.Keys[i*size : (i+1)*size])
			out.Entries = append(out.Entries, origin.Entry{Key: key, Origin: at, TTL: time.Duration(ttl) * time.Second})
		}
	}
	return out
}

// ceilSeconds returns a duration in seconds, rounded up.
func ceilSeconds(d time.Duration) int32 { return int32((d + time.Second - 1) / time.Second) }

// Recall implements Cluster.
func (n *Node) Recall(_ context.Context, r *RecallRequest) (*RecallReply, error) {
	if n.Streams == nil || len(r.Key) != len(origin.Key{}) {
		return &RecallReply{}, nil
	}
	at, ttl, ok := n.Streams.Lookup(origin.Key(r.Key))
	if !ok {
		return &RecallReply{}, nil
	}
	return &RecallReply{Known: true, Service: at.Service, Version: at.Version, TtlS: ceilSeconds(ttl)}, nil
}

// RecallByPeers asks the nodes that may know where a stream began, all at once, until one does
// or ctx is done. complete reports whether all of them have replied.
func (n *Node) RecallByPeers(ctx context.Context, key origin.Key) (at origin.Origin, ok, complete bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	addresses := n.recallAddresses()
	replies := make(chan *RecallReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := NewClusterProtobufClient("http://"+address, n.client).Recall(ctx, &RecallRequest{Key: key[:]})
			if err != nil {
				reply = nil // the exchange logs that the node does not respond
			}
			replies <- reply
		}()
	}
	complete = true
	for range addresses {
		reply := <-replies
		switch {
		case reply == nil:
			complete = false
		case reply.Known:
			return origin.Origin{Service: reply.Service, Version: reply.Version}, true, true
		}
	}
	return origin.Origin{}, false, complete
}

// recallAddresses returns the addresses of all other nodes or, in a large system, of the hubs,
// which hold the streams of their nodes.
func (n *Node) recallAddresses() []string {
	own := n.Own()
	var addresses []string
	switch {
	case n.UsesHubs():
		for _, to := range hubTargets(own.Node, own.FailureDomain, n.Entries(), n.isAvoided, true) {
			addresses = append(addresses, to.address)
		}
	default:
		for _, r := range n.Members.Others(countedTimeout) {
			addresses = append(addresses, r.Peers)
		}
		if n.Entries != nil {
			for _, e := range n.Entries() {
				addresses = append(addresses, e.Peers)
			}
		}
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == "" || a == own.Peers })
}
