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
	retryFirst = 100 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// Watchable is a key-value service that can be listed and watched.
type Watchable interface {
	List(ctx context.Context, prefix string) ([]ports.Item, int64, error)
	Watch(ctx context.Context, prefix string, from int64, each func(ports.Batch)) error
}

// Follow keeps the view in step with the keys below prefix until ctx ends: a
// listing first, then a watch from the revision after it. A broken watch is
// taken up where it ended; only a compacted history costs another listing.
func (v *View) Follow(ctx context.Context, kv Watchable, prefix string) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = retryFirst
	wait.MaxInterval = retryMost
	store := &telemetry.Dependency{Name: "store", Now: time.Now}
	well := func() {
		wait.Reset()
		store.Succeeded()
	}
	list := true
	for ctx.Err() == nil {
		err := v.step(ctx, kv, prefix, &list, well)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ports.ErrCompacted) || errors.Is(err, context.Canceled) {
			continue // what was missed is fetched at once
		}
		store.Failed(err)
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (v *View) step(ctx context.Context, kv Watchable, prefix string, list *bool, well func()) error {
	if *list {
		items, rev, err := kv.List(ctx, prefix)
		if err != nil {
			return err
		}
		v.ApplyList(items, rev)
		*list = false
	}
	// Peers may have moved the view past what this watch saw; starting at the
	// complete revision is right in both cases.
	from, _ := v.Complete()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	v.watching(from, cancel)
	err := kv.Watch(ctx, prefix, from+1, func(b ports.Batch) {
		well()
		v.ApplyBatch(b)
		v.watching(b.Revision, cancel)
	})
	if errors.Is(err, ports.ErrCompacted) {
		*list = true
	}
	return err
}

// watching notes how far the view's own watch has shown everything.
func (v *View) watching(upTo int64, cancel context.CancelFunc) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watched, v.cutWatch = upTo, cancel
}

// CutIfDeaf ends the view's own watch when it has not shown what the view has
// held since before: the changes came by another way, so the watch is deaf. A
// new one begins at once. It takes the complete revision of an earlier look
// and reports whether the watch was cut.
func (v *View) CancelStalledWatch(before int64) bool {
	v.mu.Lock()
	cut := v.cutWatch
	deaf := cut != nil && v.watched < before
	if deaf {
		v.cutWatch = nil
	}
	v.mu.Unlock()
	if deaf {
		cut()
	}
	return deaf
}
