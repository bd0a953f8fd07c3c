package gateway

import (
	"context"
	"fmt"
	"time"

	"github.com/crankridge/crankridge/src/ports"
)

// sparingStore watches the store only while no hub tells of its changes: in a
// large system the hubs' watches serve all nodes.
type sparingStore struct {
	Store
	fed func() bool
}

const fedLook = 500 * time.Millisecond

// errFed says that changes come by another way for now. It is no loss of the
// store: the view goes on at once, as after any watch that was cut on purpose.
var errFed = fmt.Errorf("a hub tells of changes: %w", context.Canceled)

// Watch waits while a hub tells of changes. Then it ends, so that the watch
// begins from where the hub left off; and it ends when a hub tells again.
func (s sparingStore) Watch(ctx context.Context, prefix string, from int64, each func(ports.Batch)) error {
	if s.fed() {
		for s.fed() {
			if !pause(ctx, fedLook) {
				return ctx.Err()
			}
		}
		return errFed
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		for pause(ctx, fedLook) {
			if s.fed() {
				cancel(errFed)
			}
		}
	}()
	return s.Store.Watch(ctx, prefix, from, each)
}
