package duty

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crankridge/crankridge/src/ports"
)

// errLost is returned for a lost response and while the store is down.
var errLost = errors.New("response lost")

// memoryStore is an in-memory store with a settable clock. dropResponses makes
// writes return an error after they were executed; down makes all calls fail.
type memoryStore struct {
	now           time.Time
	revision      int64
	items         map[string]ports.Item
	keyLease      map[string]int64
	leases        map[int64]time.Time
	leaseTTLs     map[int64]time.Duration
	dropResponses bool
	down          bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{now: time.Unix(1000, 0), items: map[string]ports.Item{}, keyLease: map[string]int64{}, leases: map[int64]time.Time{}, leaseTTLs: map[int64]time.Duration{}}
}

func (s *memoryStore) expireLeases() {
	for id, ends := range s.leases {
		if s.now.After(ends) {
			s.removeLease(id)
		}
	}
}

func (s *memoryStore) removeLease(id int64) {
	delete(s.leases, id)
	for key, keyLease := range s.keyLease {
		if keyLease == id {
			delete(s.items, key)
			delete(s.keyLease, key)
		}
	}
}

func (s *memoryStore) response() error {
	if s.dropResponses {
		return errLost
	}
	return nil
}

func (s *memoryStore) Get(_ context.Context, key string) (ports.Item, bool, int64, error) {
	s.expireLeases()
	if s.down {
		return ports.Item{}, false, 0, errLost
	}
	it, ok := s.items[key]
	return it, ok, s.revision, nil
}

func (s *memoryStore) PutIf(_ context.Context, key string, value []byte, rev, lease int64, _ ...string) (ports.SwapResult, error) {
	s.expireLeases()
	if s.down {
		return ports.SwapResult{}, errLost
	}
	if lease != 0 {
		if _, ok := s.leases[lease]; !ok {
			return ports.SwapResult{}, ports.ErrLeaseGone
		}
	}
	if s.items[key].Revision != rev {
		return ports.SwapResult{Current: s.items[key]}, s.response()
	}
	s.revision++
	s.items[key] = ports.Item{Key: key, Value: value, Revision: s.revision}
	if lease != 0 {
		s.keyLease[key] = lease
	}
	return ports.SwapResult{Succeeded: true, Revision: s.revision}, s.response()
}

func (s *memoryStore) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	if s.down {
		return 0, errLost
	}
	s.revision++
	s.leases[s.revision], s.leaseTTLs[s.revision] = s.now.Add(ttl), ttl
	return s.revision, s.response()
}

func (s *memoryStore) KeepAlive(_ context.Context, id int64) error {
	s.expireLeases()
	if s.down {
		return errLost
	}
	if _, ok := s.leases[id]; !ok {
		return ports.ErrLeaseGone
	}
	s.leases[id] = s.now.Add(s.leaseTTLs[id])
	return s.response()
}

func (s *memoryStore) Revoke(ctx context.Context, id int64) error {
	if s.down || ctx.Err() != nil {
		return errLost
	}
	s.removeLease(id)
	return s.response()
}

const testTTL = 3 * time.Second

// action records that a node was allowed to make calls under a term.
type action struct {
	holder string
	fence  int64
	at     time.Time
}

// Holders must not alternate within a TTL, and fencing tokens never decrease or pass
// to another holder, despite restarts, frozen processes and lost responses.
func TestSingleHolderActsWithIncreasingFences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore()
		clock := func() time.Time { return store.now }
		names := []string{"a", "b", "c"}
		leases := map[string]*Lease{}
		for _, name := range names {
			leases[name] = NewLease(store, "duty", name, testTTL, clock)
		}
		frozen := map[string]time.Time{}
		var actions []action
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			store.now = store.now.Add(time.Duration(rapid.IntRange(50, 700).Draw(t, "ms")) * time.Millisecond)
			store.dropResponses = rapid.IntRange(0, 9).Draw(t, "lose") == 0
			store.down = rapid.IntRange(0, 19).Draw(t, "down") == 0
			name := rapid.SampledFrom(names).Draw(t, "node")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0: // the process is killed and restarted
				leases[name] = NewLease(store, "duty", name, testTTL, clock)
			case 1: // the process is stopped and restarted
				leases[name].Close(context.Background())
				leases[name] = NewLease(store, "duty", name, testTTL, clock)
			case 2: // the process is frozen for longer than a lease
				frozen[name] = store.now.Add(4 * time.Second)
			}
			for _, n := range names {
				if store.now.Before(frozen[n]) {
					continue
				}
				_, taken := store.items["duty"]
				leases[n].Step(context.Background(), taken)
				if term, ok := leases[n].Term(); ok {
					actions = append(actions, action{n, term.Fence, store.now})
				}
			}
		}
		checkActions(t, actions)
	})
}

func checkActions(t *rapid.T, actions []action) {
	holders := map[int64]string{}
	for i, a := range actions {
		if holder, ok := holders[a.fence]; ok && holder != a.holder {
			t.Fatalf("fence %d used by %s and %s", a.fence, holder, a.holder)
		}
		holders[a.fence] = a.holder
		if i > 0 && a.fence < actions[i-1].fence {
			t.Fatalf("fence %d after %d", a.fence, actions[i-1].fence)
		}
		between := false
		for j := i - 1; j >= 0 && a.at.Sub(actions[j].at) < testTTL; j-- {
			if actions[j].holder != a.holder {
				between = true
			} else if between {
				t.Fatalf("%s acts again %s after its previous action, with another holder in between", a.holder, a.at.Sub(actions[j].at))
			}
		}
	}
}

func TestAcquireIsReadBackAfterLostResponse(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	l := NewLease(store, "duty", "a", testTTL, func() time.Time { return store.now })
	l.Step(context.Background(), false) // the lease is granted and the key written
	_, ok := l.Term()
	is.True(ok)
	l = NewLease(store, "duty", "b", testTTL, func() time.Time { return store.now })
	store.now = store.now.Add(4 * time.Second)
	store.expireLeases()
	id, err := store.Grant(context.Background(), testTTL)
	is.NoErr(err)
	l.state = leaseState{lease: id, nonce: "b/1", renewedAt: store.now}
	_, err = store.PutIf(context.Background(), "duty", []byte("b/1"), 0, id) // its response was lost
	is.NoErr(err)
	l.Step(context.Background(), true)
	term, ok := l.Term()
	is.True(ok)
	is.Equal(term.Fence, store.revision)
}

// Guards against a lease that is kept, with a key that a delayed write may still put
// under it, because the time for the calls before was used up.
func TestLeaseIsRevokedAfterCallTimeExpired(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	l := NewLease(store, "duty", "a", testTTL, func() time.Time { return store.now })
	id, err := store.Grant(context.Background(), testTTL)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.abandon(ctx, id)
	is.Equal(len(store.leases), 0)
}
