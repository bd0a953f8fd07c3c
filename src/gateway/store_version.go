package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/clock"
)

const (
	storeVersionSpacing = 3 * time.Millisecond // between the nodes that store new versions for requests that wait
	storeVersionPause   = time.Second          // after a failure, until a request may wait for another try
)

// versionWrites are the writes of histories that requests wait for, one at a time for each service.
type versionWrites struct {
	mu       sync.Mutex
	running  map[string]chan struct{} // by service; closed at the end of the write
	failedAt time.Time
}

// storeNewVersions stores the versions of a service's servers for a request that finds no server
// of a stored version. It returns at once if the store did not respond a moment ago.
func (n *Node) storeNewVersions(ctx context.Context, service string) {
	done := n.versionWrites.start(service, func() bool { return n.storeVersionsNow(service) })
	if done == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-done:
	}
}

// start begins a write unless one is running, and returns a channel that is closed at its end;
// nil if one has just failed.
func (w *versionWrites) start(service string, write func() bool) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if done := w.running[service]; done != nil {
		return done
	}
	if clock.Since(w.failedAt) < storeVersionPause {
		return nil
	}
	done := make(chan struct{})
	w.running[service] = done
	go func() {
		stored := write()
		w.mu.Lock()
		delete(w.running, service)
		if !stored {
			w.failedAt = clock.Now()
		}
		w.mu.Unlock()
		close(done)
	}()
	return done
}

// storeVersionsNow stores the versions unless another node does so meanwhile, and reports whether
// the store responded.
func (n *Node) storeVersionsNow(service string) bool {
	ctx := context.Background()
	sleep(ctx, rand.N(time.Duration(n.roster.Count())*storeVersionSpacing))
	c := n.changedHistory(service)
	return !c.newVersion || n.writeHistory(ctx, service, c.next, c.revision)
}
