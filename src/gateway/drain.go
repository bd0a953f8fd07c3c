package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/duty"
)

// closeTime is for how long requests may end after a stopping node has closed its listeners.
const closeTime = 100 * time.Millisecond

func (n *Node) stopping() bool { return n.stopAt.Load() != 0 }

// readiness reports to the platform whether clients may be routed to this node.
func (n *Node) readiness(w http.ResponseWriter, _ *http.Request) {
	if n.stopping() || n.table.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// resolve returns the node addresses that clients may use.
func (n *Node) resolve(w http.ResponseWriter, _ *http.Request) {
	var addresses []string
	if !n.stopping() {
		addresses = append(addresses, n.initial.Listen.Callers)
	}
	addresses = append(addresses, n.members.ClientAddresses(maxAddresses-1)...)
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.platform.Resolve(addresses, n.settings().AddressTTL))
}

// closeServers closes the listeners, and the connections as their last requests end, until the
// deadline: the end of the process must cut none that it has read.
func (n *Node) closeServers(deadline time.Time) {
	ctx, cancel := clock.WithDeadline(context.Background(), deadline)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range n.httpServers {
		group.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				klog.InfoS("connections_cut", "err", err)
			}
		})
	}
	group.Wait()
}

// drainTime returns for how long after the stop signal a node takes requests, of a grace period in
// which they must end as well.
func drainTime(grace time.Duration) time.Duration { return min(maxDrainPeriod, grace/2) }

// stop drains the node: it reports itself as leaving, keeps serving for a while,
// and returns when no requests are left or the grace period is over.
func (n *Node) stop() {
	start := clock.Now()
	n.stopAt.Store(start.UnixNano())
	klog.InfoS("stopping", "node", n.initial.Node, "open", n.openRequests.Load())
	ctx, cancel := context.WithTimeout(context.Background(), duty.CallTimeout)
	n.lease.Close(ctx)
	cancel()
	grace := n.settings().Grace
	deadline := start.Add(grace - stopMargin)
	// For one more second after the drain period, late requests are still refused with a
	// response instead of failing to connect.
	minDrain := min(drainTime(grace)+time.Second, grace-stopMargin)
	for clock.Now().Before(deadline) {
		if clock.Since(start) > minDrain && n.openRequests.Load() == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	n.closeServers(deadline.Add(closeTime))
	klog.InfoS("stopped", "node", n.initial.Node, "open", n.openRequests.Load(), "after_ms", clock.Since(start).Milliseconds())
	klog.Flush()
}
