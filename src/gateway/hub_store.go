package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/ports"
)

// hubAwareStore watches the store only while no hub forwards its changes. In a
// large system the watches of the hubs serve all nodes.
type hubAwareStore struct {
	Store
	receivesHubUpdates func() bool
	delay              func() time.Duration // before a watch
}

const (
	hubPollInterval     = 100 * time.Millisecond
	storeCallSpacing    = 5 * time.Millisecond   // between the watches that the nodes of a large system begin when their hubs fail them
	hubConfirmInterval  = 500 * time.Millisecond // after which a hub has the store confirm its copy again
	confirmationTimeout = 500 * time.Millisecond
)

// errHubActive ends a watch because a hub forwards the changes. It wraps
// context.Canceled so that the view does not treat it as a loss of the store.
var errHubActive = fmt.Errorf("a hub forwards store changes: %w", context.Canceled)

// Watch blocks while a hub forwards changes and then returns, so that the caller
// resumes from the last revision that the hub sent. A running watch ends when a
// hub takes over.
func (s hubAwareStore) Watch(ctx context.Context, prefix string, from int64, each func(ports.Batch)) error {
	if s.receivesHubUpdates() {
		for s.receivesHubUpdates() {
			if !sleep(ctx, hubPollInterval) {
				return ctx.Err()
			}
		}
		return errHubActive
	}
	if !sleep(ctx, s.delay()) {
		return ctx.Err()
	}
	if s.receivesHubUpdates() {
		return errHubActive
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for sleep(ctx, hubPollInterval) {
			if s.receivesHubUpdates() {
				cancel(errHubActive)
			}
		}
	}()
	return s.Store.Watch(ctx, prefix, from, each)
}

// receivesHubUpdates reports whether a hub forwards store changes to this node, so that it needs
// no watch of its own: the hub replies, and the store has lately confirmed the hub's copy.
func (n *Node) receivesHubUpdates() bool {
	return n.hearsHub() && clock.Since(n.members.HubConfirmedAt()) < cluster.HubConfirmationMaxAge
}

// hearsHub reports whether this node uses a hub that replies.
func (n *Node) hearsHub() bool {
	_, _, at, ok := n.members.Summary()
	return ok && clock.Since(at) < summaryMaxAge && n.peers.UsesHubs() && !n.peers.IsHub()
}

// storeDelay returns how long to wait before a watch of the store. All nodes whose hubs have lost
// the store turn to it themselves at about the same time.
func (n *Node) storeDelay() time.Duration {
	if !n.hearsHub() {
		return 0
	}
	return rand.N(time.Duration(n.roster.Count()) * storeCallSpacing)
}

// confirmHubView has the store confirm the copy of a hub where no change has done so lately, as
// a waiting watch tells nothing while nothing changes.
func (n *Node) confirmHubView(ctx context.Context) {
	if age, ok := n.view.ConfirmedAge(); !n.peers.UsesHubs() || !n.peers.IsHub() || ok && age < hubConfirmInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, confirmationTimeout)
	defer cancel()
	sent := clock.Now()
	if _, _, revision, err := n.store.Get(ctx, n.platform.ConfigKey()); err == nil {
		n.view.Confirm(revision, sent)
	}
}
