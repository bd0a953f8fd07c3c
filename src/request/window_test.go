package request

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRepeatsStayWithinTheBudgetOfEveryWindow(t *testing.T) {
	const (
		ratio, extra = 0.2, 58.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		budgets := make([]*WindowBudget, nodes)
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, extra, window, true)
		}
		steps := rapid.IntRange(50, 300).Draw(t, "steps")
		requests, repeats := make([]float64, steps), make([]float64, steps)
		for at := range steps {
			now := time.Duration(at) * step
			for range rapid.IntRange(0, 4).Draw(t, "requests") {
				budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")].Earn("s", now)
				requests[at]++
			}
			for range rapid.IntRange(0, 6).Draw(t, "repeats wanted") {
				if budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")].Spend("s", nodes, now).Granted {
					repeats[at]++
				}
			}
		}
		perWindow := int(window / step)
		for end := range steps {
			from := max(end-perWindow+1, 0)
			asked, again := 0.0, 0.0
			for i := from; i <= end; i++ {
				asked += requests[i]
				again += repeats[i]
			}
			// The budget may count by the window or by the one half a window before.
			earlier := 0.0
			for i := max(from-perWindow/2, 0); i < max(end-perWindow/2, 0); i++ {
				earlier += requests[i]
			}
			if again > ratio*max(asked, earlier)+extra {
				t.Fatalf("%g repeats of %g requests", again, asked)
			}
		}
	})
}

// Issue 19, BUDGET: each life of a process began with a whole share, so that lives added up to more than is allowed.
func TestRepeatsOfSeveralLivesStayWithinTheBudget(t *testing.T) {
	const (
		ratio, extra = 0.2, 58.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
		perWindow    = int(window / step)
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		began := make([]time.Duration, nodes)
		budgets := make([]*WindowBudget, nodes)
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, extra, window, true)
		}
		// Steady requests, whatever the rate; repeats as many as the budgets give at any time.
		rate := rapid.IntRange(0, 12).Draw(t, "requests a step")
		steps := rapid.IntRange(150, 300).Draw(t, "steps")
		repeats := make([]float64, steps)
		for at := range steps {
			now := time.Duration(at) * step
			if rapid.IntRange(0, 15).Draw(t, "all start again") == 0 {
				for i := range budgets {
					budgets[i], began[i] = NewWindowBudget(ratio, extra, window, false), now
				}
			}
			for i := range rate {
				budgets[(at+i)%nodes].Earn("s", now-began[(at+i)%nodes])
			}
			for range rapid.IntRange(0, 40).Draw(t, "repeats wanted") {
				i := rapid.IntRange(0, nodes-1).Draw(t, "node")
				if budgets[i].Spend("s", nodes, now-began[i]).Granted {
					repeats[at]++
				}
			}
		}
		again := 0.0
		for at, count := range repeats {
			again += count
			if at >= perWindow {
				again -= repeats[at-perWindow]
			}
			if allowed := ratio*float64(rate*min(at+1, perWindow)) + extra; again > allowed {
				t.Fatalf("%g repeats in the window that ends at step %d, allowed %g", again, at, allowed)
			}
		}
	})
}
