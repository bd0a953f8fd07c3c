package request

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRetriesStayWithinTheBudgetOfEveryWindow(t *testing.T) {
	const (
		ratio, extra = 0.2, 58.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		budgets := make([]*WindowBudget, nodes)
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, extra, window, true /* firstProcess */)
		}
		steps := rapid.IntRange(50, 300).Draw(t, "steps")
		requests, retries := make([]float64, steps), make([]float64, steps)
		for at := range steps {
			now := time.Duration(at) * step
			for range rapid.IntRange(0, 4).Draw(t, "requests") {
				budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")].Earn("s", now)
				requests[at]++
			}
			for range rapid.IntRange(0, 6).Draw(t, "retries wanted") {
				if budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")].Spend("s", nodes, now).Granted {
					retries[at]++
				}
			}
		}
		perWindow := int(window / step)
		for end := range steps {
			from := max(end-perWindow+1, 0)
			asked, retried := 0.0, 0.0
			for i := from; i <= end; i++ {
				asked += requests[i]
				retried += retries[i]
			}
			// The limit is that of this window or of the one half a window earlier,
			// whichever has more requests.
			earlier := 0.0
			for i := max(from-perWindow/2, 0); i < max(end-perWindow/2, 0); i++ {
				earlier += requests[i]
			}
			if retried > ratio*max(asked, earlier)+extra {
				t.Fatalf("%g retries for %g requests", retried, asked)
			}
		}
	})
}

// Regression test: each process started with a full share, so that several
// restarts in one window exceeded the budget.
func TestRetriesAcrossRestartsStayWithinTheBudget(t *testing.T) {
	const (
		ratio, extra = 0.2, 58.0
		window       = 10 * time.Second
		step         = 100 * time.Millisecond
		perWindow    = int(window / step)
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		startedAt := make([]time.Duration, nodes)
		budgets := make([]*WindowBudget, nodes)
		for i := range budgets {
			budgets[i] = NewWindowBudget(ratio, extra, window, true /* firstProcess */)
		}
		// Requests arrive at a constant rate; retries are sent whenever the budgets allow.
		rate := rapid.IntRange(0, 12).Draw(t, "requests per step")
		steps := rapid.IntRange(150, 300).Draw(t, "steps")
		retries := make([]float64, steps)
		for at := range steps {
			now := time.Duration(at) * step
			if rapid.IntRange(0, 15).Draw(t, "restart of all nodes") == 0 {
				for i := range budgets {
					budgets[i], startedAt[i] = NewWindowBudget(ratio, extra, window, false /* firstProcess */), now
				}
			}
			for i := range rate {
				budgets[(at+i)%nodes].Earn("s", now-startedAt[(at+i)%nodes])
			}
			for range rapid.IntRange(0, 40).Draw(t, "retries wanted") {
				i := rapid.IntRange(0, nodes-1).Draw(t, "node")
				if budgets[i].Spend("s", nodes, now-startedAt[i]).Granted {
					retries[at]++
				}
			}
		}
		retried := 0.0
		for at, count := range retries {
			retried += count
			if at >= perWindow {
				retried -= retries[at-perWindow]
			}
			if allowed := ratio*float64(rate*min(at+1, perWindow)) + extra; retried > allowed {
				t.Fatalf("%g retries in the window that ends at step %d, want at most %g", retried, at, allowed)
			}
		}
	})
}
