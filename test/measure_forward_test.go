//go:build measure

package test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const measuredForwards = 1000 // requests, one after the other

// TestMeasureForwarding measures the time that a second node adds to a request.
func TestMeasureForwarding(t *testing.T) {
	b, nodes, _ := newCutBed(t, 2, cutServers)
	own := b.measureRequests(nodes[0], "own")
	nodes[0].links.cut(cutReset)
	time.Sleep(contactTimeout)
	forwarded := b.measureRequests(nodes[0], "forwarded")
	for _, q := range []float64{0.5, 0.95, 0.99} {
		t.Logf("p%.0f: %.2f ms by the node itself, %.2f ms through another one", 100*q, quantileMS(own, q), quantileMS(forwarded, q))
	}
}

// measureRequests returns the durations of requests to a node, all of which must be served.
func (b *gatewayTestbed) measureRequests(n *gatewayNode, name string) []time.Duration {
	var out []time.Duration
	for i := range measuredForwards {
		got := n.send(gatewayRequest{method: http.MethodGet, path: "/repeat/x", id: fmt.Sprint(name, "-", i)})
		b.is.Equal(got.status, http.StatusOK)
		out = append(out, got.duration)
	}
	return out
}
