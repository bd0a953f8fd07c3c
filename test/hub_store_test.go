package test

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Guards against nodes that keep the configuration of a hub which has lost the store, though they
// reach the store themselves.
func TestNodesFollowTheStoreWhileTheirHubHasLostIt(t *testing.T) {
	t.Parallel() // mostly waits
	b := newGatewayTestbed(t)
	links := map[string]*link{}
	for i := range largeSystem {
		l := newLink(t, fmt.Sprint("hub-store-", i), b.store.Address())
		n := b.startNode(l.addr, nodeAddresses(b.nodes)...)
		links[n.settings.Node] = l
	}
	b.eventually("all nodes know of each other", func() bool { return len(b.store.Keys("crankridge/nodes/")) == largeSystem })
	time.Sleep(contactTimeout) // until they exchange through a hub
	hub := firstInHashOrder(b.nodes)
	links[hub.settings.Node].disconnect()
	b.writeConfig()
	time.Sleep(applyTime)
	// All are asked at once, as each answer takes a while.
	versions := make([]int, len(b.nodes))
	var asked sync.WaitGroup
	for i, n := range b.nodes {
		asked.Go(func() { versions[i] = configVersion(n) })
	}
	asked.Wait()
	for i, n := range b.nodes {
		if n != hub && versions[i] != b.version {
			t.Errorf("%s has version %d, want %d, %s after its hub lost the store", n.settings.Node, versions[i], b.version, applyTime)
		}
	}
}

// firstInHashOrder returns the node that the others choose as the hub of their only failure domain.
func firstInHashOrder(nodes []*gatewayNode) *gatewayNode {
	return slices.MinFunc(nodes, func(x, y *gatewayNode) int {
		return cmp.Compare(xxhash.Sum64String(x.settings.Node), xxhash.Sum64String(y.settings.Node))
	})
}
