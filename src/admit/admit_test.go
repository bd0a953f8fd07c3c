package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// With a backlog of every customer, dispatches are in proportion to weights.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 6).Draw(t, "weights")
		q := NewQueue(100000, 1<<30)
		total := 0
		for c, w := range weights {
			total += w
			for range 2000 {
				q.Push(&Entry{Customer: fmt.Sprint(c), Weight: w, Cost: 1})
			}
		}
		served := map[string]int{}
		const n = 1000
		for range n {
			served[q.Pop().Customer]++
		}
		for c, w := range weights {
			want := float64(n) * float64(w) / float64(total)
			got := float64(served[fmt.Sprint(c)])
			// Dispatches of the oldest entry shift the shares by at most their own part.
			if got < want*0.9-2 || got > want+n/oldestFirstInterval+2 {
				t.Fatalf("customer %d with weight %d: %v served, want about %v with weights %v", c, w, got, want, weights)
			}
		}
	})
}

// A low priority is not starved by a steady flow of a higher one.
func TestNoPriorityStarves(t *testing.T) {
	is := is.New(t)
	q := NewQueue(1000, 1<<20)
	low := &Entry{Customer: "low", Weight: 1, Cost: 1}
	q.Push(low)
	for i := range 100 {
		q.Push(&Entry{Customer: "high", Weight: 1, Priority: 9, Cost: 1})
		if q.Pop() == low {
			is.True(i < 2*oldestFirstInterval)
			return
		}
	}
	is.Fail()
}

// Under overload, refusals by CostAhead leave each customer its weighted share
// and bound the backlog.
func TestOverloadSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(t, "weights")
		q := NewQueue(100000, 1<<30)
		const allowed = 60.0 // bound on CostAhead
		served := map[string]int{}
		total := 0
		for _, w := range weights {
			total += w
		}
		for round := range 3000 {
			for c, w := range weights { // equal demand, above the capacity
				name := fmt.Sprint(c)
				if q.CostAhead(name, w, 0) < allowed {
					q.Push(&Entry{Customer: name, Weight: w, Cost: 1})
				}
			}
			if e := q.Pop(); e != nil && round >= 1000 {
				served[e.Customer]++
			}
		}
		for c, w := range weights {
			want := 2000 * float64(w) / float64(total)
			if got := float64(served[fmt.Sprint(c)]); got < want*0.9 || got > want*1.1 {
				t.Fatalf("customer %d with weight %d: %v served, want about %v with weights %v", c, w, got, want, weights)
			}
		}
		if q.Len() > int(allowed)+len(weights) {
			t.Fatalf("backlog of %d entries", q.Len())
		}
	})
}

func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	q := NewQueue(2, 100)
	is.True(q.Push(&Entry{Customer: "a", Bytes: 60}))
	is.True(!q.Push(&Entry{Customer: "a", Bytes: 60})) // too many bytes
	second := &Entry{Customer: "a", Bytes: 10}
	is.True(q.Push(second))
	is.True(!q.Push(&Entry{Customer: "b"})) // too many entries
	is.True(q.Remove(second))
	is.True(!q.Remove(second))
	is.Equal(q.Bytes(), 60)
}

// The shares of all nodes sum to 1 if they see the same demands.
func TestSharesSumToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "nodes")
		demands := map[string]float64{}
		for i := range n {
			demands[fmt.Sprint(i)] = rapid.Float64Range(0, 100).Draw(t, "demand")
		}
		sum := 0.0
		for self := range demands {
			sum += Share(self, demands, n)
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("shares of %v sum to %v", demands, sum)
		}
	})
}

func TestLimiterReturnsRetryDelay(t *testing.T) {
	is := is.New(t)
	l := NewLimiter("a")
	at := time.Unix(100, 0)
	ok, _ := l.Allow("c", 2, 1, at)
	is.True(ok)
	ok, _ = l.Allow("c", 2, 1, at)
	is.True(ok)
	ok, retry := l.Allow("c", 2, 1, at)
	is.True(!ok)
	ok, _ = l.Allow("c", 2, 1, at.Add(retry))
	is.True(ok)
}

func TestLimiterFollowsDemand(t *testing.T) {
	is := is.New(t)
	l := NewLimiter("a")
	at := time.Unix(100, 0)
	l.MergeDemand(Demand{"b", "c", 0, at}) // no requests of customer c at node b
	for i := range 1000 {
		l.Allow("c", 10, 2, at.Add(time.Duration(10*i)*time.Millisecond))
		if i == 10 {
			is.True(l.localLimit("c", 10, 2, at.Add(100*time.Millisecond)) < 6) // the share adapts gradually
		}
	}
	at = at.Add(10 * time.Second)
	is.True(l.localLimit("c", 10, 2, at) > 8)                    // no demand at other nodes
	l.MergeDemand(Demand{"b", "c", 100000, at.Add(time.Second)}) // far more than at this node
	l.MergeDemand(Demand{"b", "c", 0, at})                       // an older reading is ignored
	for i := range 10 {
		l.localLimit("c", 10, 2, at.Add(time.Duration(i)*time.Second))
	}
	is.True(l.localLimit("c", 10, 2, at.Add(10*time.Second)) < 2)
}

// Regression test: a node without reports for demandExpiry took most of the limit.
func TestShareDoesNotGrowWhenExchangeStops(t *testing.T) {
	is := is.New(t)
	const limit, nodes, steps, step = 100.0, 3, 800, 100 * time.Millisecond
	now := time.Unix(1000, 0)
	l := NewLimiter("self")
	l.SetLive([]string{"self", "a", "b"})
	for _, node := range []string{"a", "b"} {
		l.MergeDemand(Demand{Node: node, Customer: "c", Rate: 100, At: now})
	}
	allowed := 0
	for i := range steps {
		now = now.Add(step)
		for range 10 { // 100 per second, as at each of the others
			if ok, _ := l.Allow("c", limit, nodes, now); ok && i >= steps/2 {
				allowed++
			}
		}
	}
	rate := float64(allowed) / (steps / 2 * step.Seconds())
	is.True(rate < limit/nodes*1.1)
	l.SetLive([]string{"self"}) // the other nodes have left
	allowed = 0
	for range steps {
		now = now.Add(step)
		for range 10 {
			if ok, _ := l.Allow("c", limit, 1, now); ok {
				allowed++
			}
		}
	}
	is.True(float64(allowed)/(steps*step.Seconds()) > limit*0.9)
}

// Guards against a removed entry moving other customers back, as if it had been dispatched.
func TestRemovalDoesNotDelayOtherCustomers(t *testing.T) {
	is := is.New(t)
	q := NewQueue(1000, 1<<20)
	var entries []*Entry
	for range 100 {
		e := &Entry{Customer: "busy", Weight: 1, Cost: 1}
		entries = append(entries, e)
		q.Push(e)
	}
	is.True(q.Remove(entries[50]))
	other := &Entry{Customer: "other", Weight: 1, Cost: 1}
	q.Push(other)
	places := 1
	for q.Pop() != other {
		places++
	}
	is.True(places <= 2)
}
