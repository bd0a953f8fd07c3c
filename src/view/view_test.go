package view

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crankridge/crankridge/src/ports"
)

// store is a key-value service that keeps its full history.
type store struct{ history []ports.Item }

func (s *store) write(key string, deleted bool) {
	s.history = append(s.history, ports.Item{Key: key, Revision: int64(len(s.history) + 1), Deleted: deleted})
}

// at lists the live items at revision rev, like a stale read.
func (s *store) at(rev int) []ports.Item {
	last := map[string]ports.Item{}
	for _, it := range s.history[:rev] {
		last[it.Key] = it
	}
	var out []ports.Item
	for _, it := range last {
		if !it.Deleted {
			out = append(out, it)
		}
	}
	return out
}

func versions(v *View) map[string]int64 {
	out := map[string]int64{}
	for key, it := range v.items {
		out[key] = it.Revision
	}
	return out
}

// Under any order of writes, stale lists, delayed watches and exchanges, no key
// goes back to an older revision, and all views converge.
func TestViewsOnlyMoveForwardAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{}
		views := []*View{New(), New(), New()}
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, len(views)-1).Draw(t, "node")
			v := views[i]
			before, complete := versions(v), v.complete
			switch rapid.SampledFrom([]string{"write", "write", "list", "watch", "exchange"}).Draw(t, "action") {
			case "write":
				s.write(fmt.Sprintf("k%d", rapid.IntRange(0, 3).Draw(t, "key")), rapid.IntRange(0, 3).Draw(t, "delete") == 0)
			case "list":
				rev := rapid.IntRange(0, len(s.history)).Draw(t, "age")
				v.ApplyList(s.at(rev), int64(rev))
			case "watch":
				upTo := rapid.IntRange(0, len(s.history)).Draw(t, "up to")
				if int64(upTo) > v.complete {
					v.ApplyBatch(ports.Batch{Items: s.history[v.complete:upTo], Revision: int64(upTo)})
				}
			case "exchange":
				d := views[rapid.IntRange(0, len(views)-1).Draw(t, "peer")].DeltaSince(v.complete)
				v.ApplyPeer(d)
			}
			for key, rev := range versions(v) {
				if rev < before[key] {
					t.Fatalf("%s went back from revision %d to %d", key, before[key], rev)
				}
			}
			if v.complete < complete {
				t.Fatal("the complete revision went back")
			}
			checkComplete(t, s, v)
		}
		views[0].ApplyList(s.at(len(s.history)), int64(len(s.history)))
		for _, v := range views[1:] {
			v.ApplyPeer(views[0].DeltaSince(v.complete))
			if !maps.Equal(liveRevisions(v), liveRevisions(views[0])) {
				t.Fatalf("views did not converge: %v and %v", liveRevisions(v), liveRevisions(views[0]))
			}
		}
	})
}

// checkComplete fails if the view lacks a live item of its complete revision.
func checkComplete(t *rapid.T, s *store, v *View) {
	for _, it := range s.at(int(v.complete)) {
		if v.items[it.Key].Revision < it.Revision {
			t.Fatalf("view claims to be complete to %d, but lacks %s at %d", v.complete, it.Key, it.Revision)
		}
	}
}

func liveRevisions(v *View) map[string]int64 {
	out := map[string]int64{}
	for _, it := range v.List("") {
		out[it.Key] = it.Revision
	}
	return out
}

func TestTombstonesAreBounded(t *testing.T) {
	is := is.New(t)
	v, behind := New(), New()
	s := &store{}
	for i := range 3 * maxTombstones {
		s.write(fmt.Sprintf("k%d", i), false)
		s.write(fmt.Sprintf("k%d", i), true)
	}
	s.write("last", false)
	behind.ApplyBatch(ports.Batch{Items: s.history[:1], Revision: 1})
	v.ApplyBatch(ports.Batch{Items: s.history, Revision: int64(len(s.history))})
	is.True(len(v.items) <= maxTombstones+1)
	behind.ApplyPeer(v.DeltaSince(behind.complete))
	is.Equal(liveRevisions(behind), liveRevisions(v)) // k0's tombstone was dropped, but k0 stays deleted
}

// Issue 26: a listing in which thousands of keys are missing at once caused a panic, or
// dropped all tombstones.
func TestManyKeysMissingAtOnce(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{3000, 4002, 9000} {
		var items []ports.Item
		for i := range count {
			items = append(items, ports.Item{Key: fmt.Sprint("k-", i), Revision: int64(i + 1)})
		}
		v := New()
		v.ApplyList(items, int64(count))
		v.ApplyList(nil, int64(count+1))
		kept := 0
		for _, it := range v.items {
			if it.Deleted {
				kept++
			}
		}
		is.Equal(kept, v.tombstones)
		is.True(kept <= maxTombstones)
		is.True(kept >= maxTombstones/4) // lagging peers are still told what was deleted
		is.Equal(len(v.List("")), 0)
		v.ApplyPeer(Delta{Items: items, CompleteRevision: int64(count)})
		is.Equal(len(v.List("")), 0) // what was dropped does not come back
	}
}

func TestChangesSinceReportsTruncatedLog(t *testing.T) {
	is := is.New(t)
	v := NewWithLog(3)
	for rev := range int64(5) {
		v.ApplyBatch(ports.Batch{Items: []ports.Item{{Key: "k", Revision: rev + 1}}, Revision: rev + 1})
	}
	items, complete, ok := v.ChangesSince(2)
	is.True(ok)
	is.Equal(len(items), 3)
	is.Equal(complete, int64(5))
	_, _, ok = v.ChangesSince(1)
	is.True(!ok)
}
