package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// While all customers wait, each is served in proportion to its weight.
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
			// Every tenth goes to the oldest, which shifts at most that tenth.
			if got < want*0.9-2 || got > want+n/fairTurns+2 {
				t.Fatalf("customer %d of weight %d: %v served, %v due of %v", c, w, got, want, weights)
			}
		}
	})
}

// A low priority is served too, however many of a higher one keep coming.
func TestNoPriorityStarves(t *testing.T) {
	is := is.New(t)
	q := NewQueue(1000, 1<<20)
	low := &Entry{Customer: "low", Weight: 1, Cost: 1}
	q.Push(low)
	for i := range 100 {
		q.Push(&Entry{Customer: "high", Weight: 1, Priority: 9, Cost: 1})
		if q.Pop() == low {
			is.True(i < 2*fairTurns)
			return
		}
	}
	is.Fail()
}

// Under overload, who is refused follows the weights as well: each customer's
// backlog may be as long as its share is served in the time allowed.
func TestOverloadSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 4).Draw(t, "weights")
		q := NewQueue(100000, 1<<30)
		const allowed = 60.0 // cost that may be ahead
		served := map[string]int{}
		total := 0
		for _, w := range weights {
			total += w
		}
		for round := range 3000 {
			for c, w := range weights { // all ask for as much, more than there is
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
				t.Fatalf("customer %d of weight %d: %v served, %v due of %v", c, w, got, want, weights)
			}
		}
		if q.Len() > int(allowed)+len(weights) {
			t.Fatalf("backlog %d", q.Len())
		}
	})
}

func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	q := NewQueue(2, 100)
	is.True(q.Push(&Entry{Customer: "a", Bytes: 60}))
	is.True(!q.Push(&Entry{Customer: "a", Bytes: 60})) // bytes
	second := &Entry{Customer: "a", Bytes: 10}
	is.True(q.Push(second))
	is.True(!q.Push(&Entry{Customer: "b"})) // entries
	is.True(q.Remove(second))
	is.True(!q.Remove(second))
	is.Equal(q.Bytes(), 60)
}

// What the nodes let through together is the limit when they know each
// other's demand, and never more whatever part of it they know.
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

func TestLimiterTellsWhenToComeBack(t *testing.T) {
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
	is.True(ok) // the time told is true
}

func TestLimiterFollowsDemand(t *testing.T) {
	is := is.New(t)
	l := NewLimiter("a")
	at := time.Unix(100, 0)
	l.MergeDemand(Demand{"b", "c", 0, at})
	for i := range 1000 {
		l.Allow("c", 10, 2, at.Add(time.Duration(10*i)*time.Millisecond))
		if i == 10 {
			is.True(l.share("c", 10, 2, at.Add(100*time.Millisecond)) < 6) // a surge may have begun everywhere
		}
	}
	at = at.Add(10 * time.Second)
	is.True(l.share("c", 10, 2, at) > 8) // nobody else asks
	l.MergeDemand(Demand{"b", "c", 100000, at.Add(time.Second)})
	l.MergeDemand(Demand{"b", "c", 0, at}) // late news change nothing
	for i := range 10 {
		l.share("c", 10, 2, at.Add(time.Duration(i)*time.Second))
	}
	is.True(l.share("c", 10, 2, at.Add(10*time.Second)) < 2)
}

// Issue 19, the same class: a node that heard nothing for 30 s took most of the limit.
func TestPartOfALimitDoesNotGrowWhenNewsStops(t *testing.T) {
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
		for range 10 { // 100 a second, as each of the others asks
			if ok, _ := l.Allow("c", limit, nodes, now); ok && i >= steps/2 {
				allowed++
			}
		}
	}
	rate := float64(allowed) / (steps / 2 * step.Seconds())
	is.True(rate < limit/nodes*1.1)
	l.SetLive([]string{"self"}) // the others are gone: their records have left the store
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
