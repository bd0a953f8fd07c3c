package duty

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestLedgerSumsRunningCountsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type told struct {
			node  string
			count int64
		}
		want := map[string]int64{}
		var all []told
		for _, node := range []string{"a", "b", "c"} {
			most := int64(rapid.IntRange(0, 20).Draw(t, "count of "+node))
			want[node] = most
			for count := int64(0); count <= most; count++ {
				all = append(all, told{node, count})
			}
		}
		l := NewLedger()
		for _, i := range rapid.Permutation(indexes(len(all))).Draw(t, "order") {
			l.Merge(all[i].node, 1, 7, "customer", all[i].count)
			l.Merge(all[i].node, 1, 7, "customer", all[i].count) // told twice
		}
		if got := l.Sum(7)["customer"]; got != want["a"]+want["b"]+want["c"] {
			t.Fatalf("sum %d of %v", got, want)
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// recorder takes reports, and fails while broken.
type recorder struct {
	reports map[int64][]string
	broken  bool
}

func (r *recorder) ReportUsage(_ context.Context, _ Term, window int64, counts map[string]int64) error {
	r.reports[window] = append(r.reports[window], fmt.Sprint(counts))
	if r.broken {
		return errLost
	}
	return nil
}

func TestSuccessorReportsWhatWasSealed(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	clock := func() time.Time { return store.now }
	sender := &recorder{reports: map[int64][]string{}, broken: true}
	make := func(holder string, counted int64) *UsageReporter {
		u := &UsageReporter{Ledger: NewLedger(), Lease: NewLease(store, "duty", holder, testTTL, clock), Store: store, Sender: sender, Prefix: "usage/", Window: 5 * time.Second, Late: 10 * time.Second, Clock: clock, AllHeard: func() bool { return true }}
		u.Ledger.Merge("n", 1, 200, "customer", counted)
		return u
	}
	first, second := make("a", 10), make("b", 12) // b heard of two more runs
	store.now = time.Unix(1008, 0)                // window 200 ended at 1005
	first.Lease.Step(context.Background(), false)
	first.Step(context.Background()) // sealed and sent, the answer was lost
	is.Equal(sender.reports[200], []string{"map[customer:10]"})
	store.now = store.now.Add(testTTL + time.Second)
	store.lapse()
	sender.broken = false
	second.Lease.Step(context.Background(), false)
	second.Step(context.Background())
	is.Equal(sender.reports[200], []string{"map[customer:10]", "map[customer:10]"})
}

func TestNothingIsSentWithoutASeal(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	clock := func() time.Time { return store.now }
	sender := &recorder{reports: map[int64][]string{}}
	u := &UsageReporter{Ledger: NewLedger(), Lease: NewLease(store, "duty", "a", testTTL, clock), Store: store, Sender: sender, Prefix: "usage/", Window: 5 * time.Second, Late: 10 * time.Second, Clock: clock, AllHeard: func() bool { return true }}
	u.Ledger.Merge("n", 1, 200, "customer", 3)
	store.now = time.Unix(1008, 0)
	u.Lease.Step(context.Background(), false)
	store.down = true
	u.Step(context.Background())
	is.Equal(len(sender.reports), 0)
	store.down, store.lose = false, true
	u.Step(context.Background()) // sealed, but the answer was lost
	is.Equal(len(sender.reports), 0)
	store.lose = false
	u.Step(context.Background())
	is.Equal(len(sender.reports[200]), 1)
}

func TestWindowWaitsForSilentNodes(t *testing.T) {
	is := is.New(t)
	store := newMemoryStore()
	clock := func() time.Time { return store.now }
	sender := &recorder{reports: map[int64][]string{}}
	heard := false
	u := &UsageReporter{Ledger: NewLedger(), Lease: NewLease(store, "duty", "a", testTTL, clock), Store: store, Sender: sender, Prefix: "usage/", Window: 5 * time.Second, Late: 10 * time.Second, Clock: clock, AllHeard: func() bool { return heard }}
	u.Ledger.Merge("n", 1, 200, "customer", 3)
	store.now = time.Unix(1006, 0) // a second after the window's end
	u.Lease.Step(context.Background(), false)
	u.Step(context.Background())
	is.Equal(len(sender.reports), 0)
	heard = true
	u.Step(context.Background())
	is.Equal(len(sender.reports[200]), 1)
}
