package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/cluster"
	"github.com/crankridge/crankridge/src/ports"
)

// countingStore records when watches begin. It never responds.
type countingStore struct {
	Store
	mu    sync.Mutex
	began []time.Time
}

func (s *countingStore) Watch(ctx context.Context, _ string, _ int64, _ func(ports.Batch)) error {
	s.mu.Lock()
	s.began = append(s.began, time.Now())
	s.mu.Unlock()
	<-ctx.Done()
	return ctx.Err()
}

// newHubUser returns a node of a system of the given size, whose hub replies, and which was told
// that the store confirmed the hub's copy at the given time.
func newHubUser(nodes int, confirmed time.Time) *Node {
	n := &Node{members: cluster.NewMembers("self", time.Now), roster: cluster.NewRoster("self", time.Now)}
	n.peers = &cluster.Node{Entries: n.roster.Present}
	var entries []cluster.Entry
	for i := range nodes {
		entries = append(entries, cluster.Entry{Node: fmt.Sprint("n-", i), Peers: "p"})
	}
	n.roster.SetStored(entries)
	n.members.SetSummary(&cluster.Record{Node: "n-0"}, &cluster.Summary{}, time.Now(), confirmed)
	return n
}

// Guards against nodes that all turn to the store at one moment when their hubs lose it: a third
// of its 2,000 reads a second is left to them, in any tenth of a second.
func TestNodesOfLargeSystemTurnToTheStoreApart(t *testing.T) {
	t.Parallel() // mostly waits
	const (
		nodes       = 330
		mostInTenth = 2000 / 10 / 3
	)
	store := &countingStore{}
	ctx, cancel := context.WithTimeout(context.Background(), nodes*storeCallSpacing+time.Second)
	defer cancel()
	n := newHubUser(nodes, time.Now().Add(-time.Hour))
	var watches sync.WaitGroup
	for range nodes {
		aware := hubAwareStore{store, func() bool { return false }, n.storeDelay}
		watches.Go(func() { _ = aware.Watch(ctx, "", 1, nil) })
	}
	watches.Wait()
	if len(store.began) != nodes {
		t.Fatalf("%d of %d watches began", len(store.began), nodes)
	}
	slices.SortFunc(store.began, time.Time.Compare)
	for i, first := range store.began {
		count := 0
		for _, at := range store.began[i:] {
			if at.Sub(first) < 100*time.Millisecond {
				count++
			}
		}
		if count > mostInTenth {
			t.Fatalf("%d watches began within 0.1 s, at most %d may", count, mostInTenth)
		}
	}
}

// Guards against nodes that take a hub's news to be as young as its message.
func TestHubServesNodesWhileTheStoreConfirmsItsCopy(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	is.True(newHubUser(20, now).receivesHubUpdates())
	is.True(!newHubUser(20, now.Add(-cluster.HubConfirmationMaxAge)).receivesHubUpdates())
	is.True(!newHubUser(20, time.Time{}).receivesHubUpdates()) // the hub has never heard from the store
	is.True(newHubUser(20, time.Time{}).hearsHub())
	is.True(!newHubUser(5, now).receivesHubUpdates()) // a small system has no hubs
}
