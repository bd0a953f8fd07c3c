package admit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	limitTestWindow = 4 * time.Second
	limitTestStep   = 25 * time.Millisecond
)

// allowedInWindow is the most that a server may get in a window under a limit.
func allowedInWindow(rate float64) float64 { return 1.5*rate*limitTestWindow.Seconds() + 5 }

var limitRun = UpstreamRun{ID: "i-1", StartedMS: 7}

// Guards against LIMIT of issue 25: shares of many nodes that add up to more than the
// limit, when nodes start, restart and leave, and don't hear of each other at once.
func TestUpstreamLimitHoldsOverAllNodesAndAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0, 0.1, 0.5, 1, 2.5, 6.5, 40, 300}).Draw(t, "rate")
		count := rapid.IntRange(1, 40).Draw(t, "nodes")
		changes := rapid.SliceOfN(rapid.IntRange(0, 400), 0, 4).Draw(t, "steps of changes")
		lag := rapid.IntRange(0, 20).Draw(t, "steps until a node hears of a change")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		start := time.Unix(1000, 0)
		news := LimitNews{limitRun, true, rate, start}
		var names []string
		nodes := map[string]*UpstreamLimiter{}
		add := func(name string, now time.Time) {
			nodes[name] = NewUpstreamLimiter(name)
			nodes[name].SetNodes(without(names, name), now)
			nodes[name].Merge([]LimitNews{news}, now)
		}
		for i := range count {
			names = append(names, fmt.Sprint("node-", i))
		}
		for _, name := range names {
			add(name, start)
		}
		var sent []time.Time
		hearAt := map[string]int{}
		for step := range 480 {
			now := start.Add(time.Duration(step) * limitTestStep)
			if slices.Contains(changes, step) {
				switch rng.IntN(3) {
				case 0: // a node joins
					name := fmt.Sprint("new-", step)
					names = append(names, name)
					add(name, now)
				case 1: // a node restarts
					add(names[rng.IntN(len(names))], now)
				case 2: // a node leaves
					if len(names) > 1 {
						i := rng.IntN(len(names))
						delete(nodes, names[i])
						names = slices.Delete(slices.Clone(names), i, i+1)
					}
				}
				for name := range nodes {
					hearAt[name] = step + rng.IntN(lag+1)
				}
			}
			for _, name := range names {
				if hearAt[name] == step {
					nodes[name].SetNodes(without(names, name), now)
				}
				for nodes[name].Take(limitRun, rng.IntN(4), now).Granted {
					sent = append(sent, now)
				}
			}
		}
		for i, first := range sent {
			in := 0
			for _, at := range sent[i:] {
				if at.Sub(first) < limitTestWindow {
					in++
				}
			}
			if float64(in) > allowedInWindow(rate) {
				t.Fatalf("%d requests within %s of %s, %v allowed", in, limitTestWindow, first.Sub(start), allowedInWindow(rate))
			}
		}
		if len(changes) == 0 && float64(len(sent)) < 0.8*rate*10 {
			t.Fatalf("%d requests in 12 s, the limit is not used", len(sent))
		}
	})
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}

// Guards against old news replacing new ones: a limit that an answer of before it ends,
// and one that comes back because a node that was cut off still reports it.
func TestLaterNewsOfALimitWin(t *testing.T) {
	is := is.New(t)
	at := func(seconds float64) time.Time {
		return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	l := NewUpstreamLimiter("self")
	is.True(!l.Observe(limitRun, false, 0, at(0), at(1), at(1)))
	is.True(!l.Active())
	is.True(l.Observe(limitRun, true, 2, at(1), at(2), at(2)))
	is.True(!l.Observe(limitRun, false, 0, at(1.9), at(2.1), at(2.1))) // sent before the limit was named
	is.True(l.Check(limitRun, 0, at(2.1)).Limited)
	is.True(l.Observe(limitRun, false, 0, at(3), at(3.1), at(3.1)))
	is.Equal(l.Check(limitRun, 0, at(3.1)), Permit{Granted: true})
	l.Merge([]LimitNews{{limitRun, true, 2, at(2.5)}}, at(10))
	is.True(!l.Check(limitRun, 0, at(10)).Limited) // older than the end
	l.Merge([]LimitNews{{limitRun, true, 2, at(9)}}, at(10))
	is.True(l.Check(limitRun, 0, at(10)).Limited)
	is.True(!l.Check(UpstreamRun{ID: limitRun.ID, StartedMS: 8}, 0, at(10)).Limited) // the next run has named none
	is.Equal(len(l.Report(5)), 1)
	l.Retain(nil, at(20))
	is.True(l.Check(limitRun, 0, at(21)).Limited) // its entry may be missing for a while
	l.Retain(nil, at(20).Add(unlistedLimitPeriod+time.Second))
	is.True(!l.Active())
}

// All nodes must agree on a limit in whatever order they hear of it.
func TestLimitNewsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var news []LimitNews
		for range rapid.IntRange(1, 10).Draw(t, "news") {
			n := LimitNews{Upstream: limitRun, Limited: rapid.Bool().Draw(t, "limited"), At: time.Unix(int64(rapid.IntRange(1, 4).Draw(t, "at")), 0)}
			if n.Limited {
				n.Rate = float64(rapid.IntRange(1, 3).Draw(t, "rate"))
			}
			news = append(news, n)
		}
		a, b := NewUpstreamLimiter("a"), NewUpstreamLimiter("b")
		now := time.Unix(10, 0)
		a.Merge(news, now)
		slices.Reverse(news)
		for _, n := range news {
			b.Merge([]LimitNews{n}, now)
		}
		if !slices.Equal(a.Report(9), b.Report(9)) {
			t.Fatalf("%v and %v", a.Report(9), b.Report(9))
		}
	})
}

// In a shortage the less urgent requests give way first.
func TestUrgentRequestsTakeTheLimitFirst(t *testing.T) {
	is := is.New(t)
	l := NewUpstreamLimiter("self")
	now := time.Unix(1000, 0)
	l.Merge([]LimitNews{{limitRun, true, 1, now}}, now)
	now = now.Add(1100 * time.Millisecond)
	low := l.Check(limitRun, 3, now)
	is.True(!low.Granted)
	is.True(low.Wait > 0)
	is.True(l.Check(limitRun, 3, now.Add(low.Wait)).Granted) // the wait holds
	is.True(l.Take(limitRun, 0, now).Granted)
	is.True(!l.Take(limitRun, 0, now).Granted)
	l.Refund(limitRun)
	is.True(l.Take(limitRun, 0, now).Granted)
}

// A server that names 0 is asked now and then, as only its responses tell of the end.
func TestServerThatNamesZeroIsAskedRarely(t *testing.T) {
	is := is.New(t)
	l := NewUpstreamLimiter("self")
	now := time.Unix(1000, 0)
	l.Merge([]LimitNews{{limitRun, true, 0, now}}, now)
	is.True(!l.Take(limitRun, 0, now.Add(time.Second)).Granted)
	is.True(l.Take(limitRun, 0, now.Add(6*time.Second)).Granted)
	is.True(!l.Take(limitRun, 0, now.Add(7*time.Second)).Granted)
}
