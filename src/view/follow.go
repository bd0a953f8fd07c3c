package view

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/telemetry"
)

const (
	retryInitial = 100 * time.Millisecond
	retryMax     = 400 * time.Millisecond
)

// Watchable is a key-value service that supports listing and watching.
type Watchable interface {
	List(ctx context.Context, prefix string) ([]ports.Item, int64, error)
	Watch(ctx context.Context, prefix string, from int64, each func(ports.Batch)) error
}

// Follow keeps the view up to date with the keys under prefix until ctx is
// canceled: it lists them once and then watches from the next revision. A broken
// watch resumes where it ended; a new listing is needed only if the history has
// been compacted.
func (v *View) Follow(ctx context.Context, kv Watchable, prefix string) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryInitial
	retry.MaxInterval = retryMax
	store := &telemetry.Dependency{Name: "store", Now: time.Now}
	onSuccess := func() {
		retry.Reset()
		store.Succeeded()
	}
	needsList := true
	for ctx.Err() == nil {
		err := v.syncOnce(ctx, kv, prefix, &needsList, onSuccess)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ports.ErrCompacted) || errors.Is(err, context.Canceled) {
			continue // reconnect without delay
		}
		store.Failed(err)
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
}

func (v *View) syncOnce(ctx context.Context, kv Watchable, prefix string, needsList *bool, onSuccess func()) error {
	if *needsList {
		items, rev, err := kv.List(ctx, prefix)
		if err != nil {
			return err
		}
		v.ApplyList(items, rev)
		*needsList = false
	}
	// Peers may have advanced the view beyond the previous watch, so resume from
	// the complete revision.
	from, _ := v.Complete()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v.setWatched(from, cancel)
	err := kv.Watch(ctx, prefix, from+1, func(b ports.Batch) {
		onSuccess()
		v.ApplyBatch(b)
		v.setWatched(b.Revision, cancel)
	})
	if errors.Is(err, ports.ErrCompacted) {
		*needsList = true
	}
	return err
}

func (v *View) setWatched(upTo int64, cancel context.CancelFunc) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchedRevision, v.cancelWatch = upTo, cancel
}

// CancelStalledWatch cancels the view's own watch, which is then restarted, if it
// has not delivered the changes up to rev. rev is the complete revision of the
// view at an earlier time: changes up to it have arrived through peers, so the
// watch no longer delivers. It reports whether the watch was canceled.
func (v *View) CancelStalledWatch(rev int64) bool {
	v.mu.Lock()
	cancel := v.cancelWatch
	stalled := cancel != nil && v.watchedRevision < rev
	if stalled {
		v.cancelWatch = nil
	}
	v.mu.Unlock()
	if stalled {
		cancel()
	}
	return stalled
}
