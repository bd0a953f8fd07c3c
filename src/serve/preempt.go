package serve

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/peer"
)

// Limits of asking other nodes to preempt one of their streams.
const (
	preemptInterval = 100 * time.Millisecond // between two rounds for one model
	preemptTimeout  = 300 * time.Millisecond // of one call
	maxPreemptCalls = 8                      // nodes asked in one round
	preemptedHold   = time.Second            // for which the preempted stream's node leaves its slot to the other node
)

// preempt frees a slot for a queued request of an active event, and returns its engine or "":
// that of one of this node's own streams or one that another node has offered. Otherwise the
// others are asked for one, and the queue is looked at again when they reply. The caller must
// hold qs.mu.
func (qs *modelQueues) preempt(model string, q *modelQueue) (engine string) {
	if q.queue.HighestPriority() < catalog.EventPriority {
		q.offered = nil // their slots have been taken otherwise
		return ""
	}
	if engine = q.preemptLowest(); engine != "" {
		return engine
	}
	if len(q.offered) > 0 {
		engine, q.offered = q.offered[0], q.offered[1:]
		return engine
	}
	if now := qs.coord.Now(); !q.asking && now.Sub(q.askedAt) >= preemptInterval {
		q.asking, q.askedAt = true, now
		go qs.askToPreempt(model, q)
	}
	return ""
}

// askToPreempt asks other nodes, in random order, until one has preempted a stream.
func (qs *modelQueues) askToPreempt(model string, q *modelQueue) {
	engine := ""
	nodes := qs.coord.Fleet.Nodes()
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, node := range nodes[:min(len(nodes), maxPreemptCalls)] {
		if node.Name == qs.coord.Self.Name {
			continue
		}
		if engine = qs.coord.preemptAt(node.Peers, model); engine != "" {
			break
		}
	}
	qs.mu.Lock()
	q.asking = false
	if engine != "" {
		q.offered = append(q.offered, engine)
	}
	qs.mu.Unlock()
	qs.notify()
}

// preemptAt asks one node to preempt a stream of a model, and returns its engine, or "" if
// there is none.
func (c *Coordinator) preemptAt(addr, model string) (engine string) {
	ctx, cancel := context.WithTimeout(c.baseCtx, preemptTimeout)
	defer cancel()
	resp, err := c.Pool.Client(addr).Preempt(ctx, &peer.PreemptRequest{Model: model})
	c.Fleet.RecordCall(addr, err == nil)
	if err != nil {
		klog.InfoS("preempt_failed", "peer", addr, "model", model, "err", err)
		return ""
	}
	return resp.Engine
}

// Preempt implements peer.Peer: it preempts a stream of this node for a queued request of an
// active event at another node. Its slot counts as taken here for a while, so that the preempted
// stream does not take it back.
func (c *Coordinator) Preempt(_ context.Context, req *peer.PreemptRequest) (*peer.PreemptResponse, error) {
	c.queues.mu.Lock()
	defer c.queues.mu.Unlock()
	engine := c.queues.forModel(req.Model).preemptLowest()
	if engine != "" {
		time.AfterFunc(preemptedHold, c.Registry.Begin(engine, 0, nil))
	}
	return &peer.PreemptResponse{Engine: engine}, nil
}
