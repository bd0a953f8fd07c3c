package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var sharedStart = time.Unix(1000, 0)

func TestSharedLimitHoldsOverAllNodesAndAnyWindow(t *testing.T) {
	const (
		rate, burst, slack = 1000.0, 1000.0, 1200.0
		window             = 8 * time.Second
		step               = 50 * time.Millisecond
		steps              = 400
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		lag := rapid.IntRange(1, 8).Draw(t, "lag of the exchange in steps")
		cut := rapid.IntRange(-1, nodes-1).Draw(t, "node cut off from the others")
		load := rapid.Float64Range(0.2, 6).Draw(t, "asked, as a multiple of the limit")
		over := Tolerance{Window: window, Slack: slack}
		limiters := make([]*SharedLimiter, nodes)
		for i := range limiters {
			limiters[i] = NewSharedLimiter(sharedStart, over)
			limiters[i].SetNodes(othersOf(i, nodes))
		}
		admitted := make([]float64, steps)
		for at := range steps {
			now := sharedStart.Add(time.Duration(at) * step)
			if at%lag == 0 {
				tellAll(limiters, cut, now)
			}
			for range int(load * rate * step.Seconds() / 10) {
				i := rapid.IntRange(0, nodes-1).Draw(t, "node")
				if ok, _ := limiters[i].Take("c", 10, 0, rate, burst, now); ok {
					admitted[at] += 10
				}
			}
		}
		most := (rate*window.Seconds()+burst)*1.1 + slack
		perWindow := int(window / step)
		for from := 0; from+perWindow <= steps; from++ {
			sum := 0.0
			for _, count := range admitted[from : from+perWindow] {
				sum += count
			}
			if sum > most {
				t.Fatalf("%g admitted in a window, at most %g", sum, most)
			}
		}
	})
}

func othersOf(self, nodes int) []string {
	var out []string
	for i := range nodes {
		if i != self {
			out = append(out, fmt.Sprint(i))
		}
	}
	return out
}

func tellAll(limiters []*SharedLimiter, cut int, now time.Time) {
	for i, from := range limiters {
		for j, to := range limiters {
			if i != j && i != cut && j != cut {
				to.Heard(fmt.Sprint(i), 1, from.Totals(), now)
			}
		}
	}
}

func TestRefundedRequestsTakeNothing(t *testing.T) {
	is := is.New(t)
	l := NewSharedLimiter(sharedStart, Tolerance{Window: 8 * time.Second})
	now := sharedStart.Add(2 * time.Second)
	for range 100 {
		ok, _ := l.Take("c", 200, 0, 100, 800, now)
		is.True(ok)
		l.Refund("c", 200)
	}
	is.Equal(l.Totals()["c"], 0.0)
}

func TestRefusalTellsWhenThereIsRoom(t *testing.T) {
	is := is.New(t)
	l := NewSharedLimiter(sharedStart, Tolerance{Window: 8 * time.Second})
	now := sharedStart.Add(2 * time.Second)
	for {
		ok, wait := l.Take("c", 50, 0, 100, 400, now)
		if ok {
			continue
		}
		is.True(wait > 0)
		ok, _ = l.Take("c", 50, 0, 100, 400, now.Add(wait+time.Millisecond))
		is.True(ok)
		return
	}
}

func TestUrgentRequestsFindRoomThatOthersLeft(t *testing.T) {
	is := is.New(t)
	l := NewSharedLimiter(sharedStart, Tolerance{Window: 8 * time.Second})
	now := sharedStart.Add(2 * time.Second)
	for {
		if ok, _ := l.Take("c", 5, 2, 100, 800, now); !ok {
			break
		}
	}
	ok, _ := l.Take("c", 60, 0, 100, 800, now)
	is.True(ok)
}
