package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/crankridge/crankridge/src/ports"
)

// hubAwareStore watches the store only while no hub forwards its changes. In a
// large system the watches of the hubs serve all nodes.
type hubAwareStore struct {
	Store
	receivesHubUpdates func() bool
}

const hubPollInterval = 500 * time.Millisecond

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
