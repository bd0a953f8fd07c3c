package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/origin"
	"github.com/crankridge/crankridge/src/ports"
)

const (
	historyReadTimeout     = 600 * time.Millisecond // of a request that waits for a read
	historyReadCallTimeout = 300 * time.Millisecond
	historyReadSpacing     = time.Millisecond // between two reads by all nodes together
)

// historyReads reads the histories of versions from the store. One read serves all requests that
// arrived before it began.
type historyReads struct {
	get   func(ctx context.Context, key string) (it ports.Item, ok bool, revision int64, err error)
	nodes func() int // that may read as often as this one

	mu      sync.Mutex
	waiting map[string]*historyRead // by service: the next read, which has not begun
	beganAt time.Time               // when the last one began
}

// historyRead is one read of a history. Its results may be used once done is closed.
type historyRead struct {
	done    chan struct{}
	history origin.History
	ok      bool // the history is stored
	err     error
}

func newHistoryReads(store Store, nodes func() int) *historyReads {
	return &historyReads{get: store.Get, nodes: nodes, waiting: map[string]*historyRead{}}
}

// read returns the history of a service as it was stored at some time after the call; ok is false
// if there was none.
func (r *historyReads) read(ctx context.Context, service string) (h origin.History, ok bool, err error) {
	next := r.join(service)
	select {
	case <-ctx.Done():
		return origin.History{}, false, ctx.Err()
	case <-next.done:
		return next.history, next.ok, next.err
	}
}

// join returns the next read of a service that has not begun.
func (r *historyReads) join(service string) *historyRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := r.waiting[service]
	if next == nil {
		next = &historyRead{done: make(chan struct{})}
		r.waiting[service] = next
		spacing := time.Duration(r.nodes()) * historyReadSpacing
		time.AfterFunc(max(clock.Until(r.beganAt.Add(spacing)), 0), func() { r.run(service, next) })
	}
	return next
}

// run makes a read. Requests that arrive from now on wait for the next one.
func (r *historyReads) run(service string, read *historyRead) {
	r.mu.Lock()
	delete(r.waiting, service)
	r.beganAt = clock.Now()
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), historyReadCallTimeout)
	defer cancel()
	it, ok, _, err := r.get(ctx, historyPrefix+service)
	if read.err = err; err == nil && ok {
		read.history, read.ok = decodeHistory(it)
	}
	close(read.done)
}
