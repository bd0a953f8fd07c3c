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

var errLost = errors.New("answer lost")

// memoryStore is a store with one clock; lose makes the answers of writes lost.
type memoryStore struct {
	now      time.Time
	revision int64
	items    map[string]ports.Item
	under    map[string]int64
	leases   map[int64]time.Time
	ttls     map[int64]time.Duration
	lose     bool
	down     bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{now: time.Unix(1000, 0), items: map[string]ports.Item{}, under: map[string]int64{}, leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}}
}

func (s *memoryStore) lapse() {
	for id, ends := range s.leases {
		if s.now.After(ends) {
			s.drop(id)
		}
	}
}

func (s *memoryStore) drop(id int64) {
	delete(s.leases, id)
	for key, under := range s.under {
		if under == id {
			delete(s.items, key)
			delete(s.under, key)
		}
	}
}

func (s *memoryStore) outcome() error {
	if s.lose {
		return errLost
	}
	return nil
}

func (s *memoryStore) Get(_ context.Context, key string) (ports.Item, bool, int64, error) {
	s.lapse()
	if s.down {
		return ports.Item{}, false, 0, errLost
	}
	it, ok := s.items[key]
	return it, ok, s.revision, nil
}

func (s *memoryStore) PutIf(_ context.Context, key string, value []byte, rev, lease int64, _ ...string) (ports.SwapResult, error) {
	s.lapse()
	if s.down {
		return ports.SwapResult{}, errLost
	}
	if lease != 0 {
		if _, ok := s.leases[lease]; !ok {
			return ports.SwapResult{}, ports.ErrLeaseGone
		}
	}
	if s.items[key].Revision != rev {
		return ports.SwapResult{Current: s.items[key]}, s.outcome()
	}
	s.revision++
	s.items[key] = ports.Item{Key: key, Value: value, Revision: s.revision}
	if lease != 0 {
		s.under[key] = lease
	}
	return ports.SwapResult{Succeeded: true, Revision: s.revision}, s.outcome()
}

func (s *memoryStore) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	if s.down {
		return 0, errLost
	}
	s.revision++
	s.leases[s.revision], s.ttls[s.revision] = s.now.Add(ttl), ttl
	return s.revision, s.outcome()
}

func (s *memoryStore) KeepAlive(_ context.Context, id int64) error {
	s.lapse()
	if s.down {
		return errLost
	}
	if _, ok := s.leases[id]; !ok {
		return ports.ErrLeaseGone
	}
	s.leases[id] = s.now.Add(s.ttls[id])
	return s.outcome()
}

func (s *memoryStore) Revoke(_ context.Context, id int64) error {
	if s.down {
		return errLost
	}
	s.drop(id)
	return s.outcome()
}

const testTTL = 3 * time.Second

// act is one call under a term, as the platform would see it.
type act struct {
	holder string
	fence  int64
	at     time.Time
}

func TestOneHolderActsAtATimeWithRisingFences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore()
		clock := func() time.Time { return store.now }
		names := []string{"a", "b", "c"}
		leases := map[string]*Lease{}
		for _, name := range names {
			leases[name] = NewLease(store, "duty", name, testTTL, clock)
		}
		frozen := map[string]time.Time{}
		var acts []act
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			store.now = store.now.Add(time.Duration(rapid.IntRange(50, 700).Draw(t, "ms")) * time.Millisecond)
			store.lose = rapid.IntRange(0, 9).Draw(t, "lose") == 0
			store.down = rapid.IntRange(0, 19).Draw(t, "down") == 0
			name := rapid.SampledFrom(names).Draw(t, "node")
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0: // the process is killed and starts again
				leases[name] = NewLease(store, "duty", name, testTTL, clock)
			case 1: // it is stopped, and starts again
				leases[name].Close(context.Background())
				leases[name] = NewLease(store, "duty", name, testTTL, clock)
			case 2:
				frozen[name] = store.now.Add(4 * time.Second)
			}
			for _, n := range names {
				if store.now.Before(frozen[n]) {
					continue
				}
				_, taken := store.items["duty"]
				leases[n].Step(context.Background(), taken)
				if term, ok := leases[n].Term(); ok {
					acts = append(acts, act{n, term.Fence, store.now})
				}
			}
		}
		checkActs(t, acts)
	})
}

func checkActs(t *rapid.T, acts []act) {
	holders := map[int64]string{}
	for i, a := range acts {
		if holder, ok := holders[a.fence]; ok && holder != a.holder {
			t.Fatalf("fence %d used by %s and %s", a.fence, holder, a.holder)
		}
		holders[a.fence] = a.holder
		if i > 0 && a.fence < acts[i-1].fence {
			t.Fatalf("fence %d after %d", a.fence, acts[i-1].fence)
		}
		between := false
		for j := i - 1; j >= 0 && a.at.Sub(acts[j].at) < testTTL; j-- {
			if acts[j].holder != a.holder {
				between = true
			} else if between {
				t.Fatalf("%s acts again %s after its act, with another between", a.holder, a.at.Sub(acts[j].at))
			}
		}
	}
}

func TestLostAnswerOfTheLeaseIsReadBack(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	l := NewLease(store, "duty", "a", testTTL, func() time.Time { return store.now })
	l.Step(context.Background(), false) // lease granted, key written
	_, ok := l.Term()
	is.True(ok)
	l = NewLease(store, "duty", "b", testTTL, func() time.Time { return store.now })
	store.now = store.now.Add(4 * time.Second)
	store.lapse()
	id, err := store.Grant(context.Background(), testTTL)
	is.NoErr(err)
	l.state = leaseState{lease: id, nonce: "b/1", renewed: store.now}
	_, err = store.PutIf(context.Background(), "duty", []byte("b/1"), 0, id) // its answer was lost
	is.NoErr(err)
	l.Step(context.Background(), true)
	term, ok := l.Term()
	is.True(ok)
	is.Equal(term.Fence, store.revision)
}
