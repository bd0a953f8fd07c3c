package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/clock"
	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/origin"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/traffic"
	"github.com/crankridge/crankridge/src/view"
)

// versionedStore holds a history, and can hold reads back.
type versionedStore struct {
	mu      sync.Mutex
	history origin.History
	err     error
	reads   int
	began   chan struct{} // receives each read that has been answered by the store
	respond chan struct{} // lets the answer of one read arrive
}

func (s *versionedStore) get(context.Context, string) (ports.Item, bool, int64, error) {
	s.mu.Lock()
	s.reads++
	it, err := ports.Item{Value: s.history.Encode()}, s.err
	s.mu.Unlock()
	s.began <- struct{}{}
	<-s.respond
	return it, err == nil, 0, err
}

func historyOf(versions ...string) origin.History {
	h := origin.History{Gone: map[string]time.Time{}}
	for _, v := range versions {
		h.Gone[v] = time.Time{}
	}
	return h
}

// Guards against a request that is answered by a read which began before it arrived: a stream may
// have begun at another version in between.
func TestHistoryIsReadAfterTheRequestArrived(t *testing.T) {
	is := is.New(t)
	store := &versionedStore{history: historyOf("v1"), began: make(chan struct{}, 8), respond: make(chan struct{}, 8)}
	reads := &historyReads{get: store.get, nodes: func() int { return 1 }, waiting: map[string]*historyRead{}}
	results := make(chan origin.History, 8)
	read := func() {
		h, ok, err := reads.read(context.Background(), "s")
		is.True(ok)
		is.NoErr(err)
		results <- h
	}
	go read()
	<-store.began // its answer is on the way
	store.mu.Lock()
	store.history = historyOf("v1", "v2")
	store.mu.Unlock()
	const later = 5
	for range later {
		go read()
	}
	store.respond <- struct{}{}
	is.Equal(len((<-results).Gone), 1)
	for received := 0; received < later; received++ {
		store.respond <- struct{}{}
		is.Equal(len((<-results).Gone), 2)
	}
	is.True(store.reads < 1+later) // one read serves those that wait
}

func TestHistoryThatCannotBeReadIsAnError(t *testing.T) {
	is := is.New(t)
	store := &versionedStore{err: errors.New("unavailable"), began: make(chan struct{}, 8), respond: make(chan struct{}, 8)}
	reads := &historyReads{get: store.get, nodes: func() int { return 1 }, waiting: map[string]*historyRead{}}
	store.respond <- struct{}{}
	_, ok, err := reads.read(context.Background(), "s")
	is.True(!ok)
	is.True(err != nil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, ok, err = reads.read(ctx, "s") // the store does not respond
	is.True(!ok)
	is.True(err != nil)
}

// Guards against streams that begin at versions which nobody can know of later.
func TestNewStreamsBeginAtStoredVersionsOnly(t *testing.T) {
	is := is.New(t)
	pool, _ := newVersionPool() // i-1 of v1 and i-2 of v2
	n := &Node{upstreams: pool, view: view.New(), members: cluster.NewMembers("self", clock.Now)}
	stream := &clientRequest{service: "s", route: &traffic.Route{Kind: traffic.Stream, Resumable: true}}
	bound := &clientRequest{service: "s", route: stream.route, origin: origin.Origin{Service: "s", Version: "v2"}}
	once := &clientRequest{service: "s", route: &traffic.Route{Kind: traffic.Stream}}
	list := func() []candidate { return pool.candidates("s", nil) }
	store := func(h origin.History, revision int64) {
		n.view.ApplyList([]ports.Item{{Key: historyPrefix + "s", Value: h.Encode(), Revision: revision}}, revision)
	}
	is.Equal(candidateIDs(n.atStoredVersions(stream, list())), "")
	is.Equal(candidateIDs(n.atStoredVersions(bound, list())), "i-1 i-2") // its version is chosen elsewhere
	is.Equal(candidateIDs(n.atStoredVersions(once, list())), "i-1 i-2")
	store(historyOf("v1"), 1)
	is.Equal(candidateIDs(n.atStoredVersions(stream, list())), "i-1")
	store(historyOf("v1", "v2"), 2)
	is.Equal(candidateIDs(n.atStoredVersions(stream, list())), "i-1 i-2")
}
