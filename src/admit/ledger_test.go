package admit

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against admissions that the other nodes never charge: the excess grows with each
// restart, too slowly for a single window to show it. The last node never restarts. What it has
// charged for the others is what its bucket lacks, as demand above the limit keeps it from
// being full.
func TestAdmissionsOfRestartingNodesAreCharged(t *testing.T) {
	const (
		rate, burst, slack = 1000.0, 1000.0, 1200.0
		window             = 8 * time.Second
		step               = 50 * time.Millisecond
		steps              = 800
		cost               = 10.0
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 9).Draw(t, "nodes")
		interval := rapid.IntRange(1, 8).Draw(t, "steps between two exchanges")
		load := rapid.Float64Range(1.5, 6).Draw(t, "demand as a multiple of the limit")
		between := rapid.IntRange(interval, 4*interval).Draw(t, "steps between two restarts of a node") // it reports a few times at most
		restarting := rapid.IntRange(1, nodes-1).Draw(t, "nodes that restart again and again")
		s := newLimiterSystem(nodes, Tolerance{Window: window, Overage: 0.1, Slack: slack})
		observer := s.limiters[nodes-1]
		taken := make([]float64, nodes)
		before := -1.0 // uncharged at the start of the measurement
		for at := range steps {
			now := startTime.Add(time.Duration(at) * step)
			for node := range restarting {
				if at > 0 && at%between == node*between/restarting {
					s.restart(node, now)
				}
			}
			if at%interval == 0 {
				s.exchange(-1, now)
			}
			for range int(load * rate * step.Seconds() / cost) {
				i := rapid.IntRange(0, nodes-1).Draw(t, "node")
				if ok, _ := s.limiters[i].Take("c", cost, 0, rate, burst, now); ok {
					taken[i] += cost
				}
			}
			bucket := observer.buckets["c"]
			if at < int(window/step) || bucket == nil {
				continue
			}
			sum := 0.0
			for _, t := range taken {
				sum += t
			}
			elapsed := bucket.updatedAt.Sub(startTime).Seconds()
			uncharged := sum - (bucket.fill*elapsed - bucket.level)
			if before < 0 {
				before = uncharged
			}
			if at == steps-1 && uncharged-before > bucket.depth {
				t.Fatalf("the observer lacks %g more of the admissions than %g s before, with a depth of %g", uncharged-before, elapsed-window.Seconds(), bucket.depth)
			}
		}
	})
}

// restartSeeds are seeds of TestSharedLimitHoldsThroughAnyNumberOfRestarts that have failed, as
// processes that reported once before they ended were not charged.
var restartSeeds = []string{"1335026102289364230", "9837713166353631857", "15738244489741290385", "11838845106446485516"}

// Guards against the failures of restartSeeds.
func TestSharedLimitHoldsThroughRestartsOfKnownSeeds(t *testing.T) {
	set := func(t *testing.T, name, value string) {
		before := flag.Lookup(name).Value.String()
		if err := flag.Set(name, value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = flag.Set(name, before) })
	}
	for _, seed := range restartSeeds {
		t.Run(seed, func(t *testing.T) {
			set(t, "rapid.seed", seed)
			set(t, "rapid.checks", "1")
			set(t, "rapid.nofailfile", "true")
			TestSharedLimitHoldsThroughAnyNumberOfRestarts(t)
		})
	}
}

// Guards against a limit that holds in its window, and is exceeded in longer ones.
func TestSharedLimitHoldsInLongWindowsThroughRestarts(t *testing.T) {
	const (
		rate, burst, slack = 1000.0, 1000.0, 1200.0
		window             = 8 * time.Second
		long               = 3 * window
		step               = 50 * time.Millisecond
		steps              = 800
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 9).Draw(t, "nodes")
		interval := rapid.IntRange(1, 8).Draw(t, "steps between two exchanges")
		partitioned := rapid.IntRange(-1, nodes-1).Draw(t, "partitioned node")
		load := rapid.Float64Range(0.2, 6).Draw(t, "demand as a multiple of the limit")
		restarting := rapid.IntRange(1, nodes).Draw(t, "nodes that restart again and again")
		oneIn := rapid.IntRange(10, 200).Draw(t, "steps between two restarts of a node, on average")
		customers := rapid.IntRange(1, 4).Draw(t, "customers")
		s := newLimiterSystem(nodes, Tolerance{Window: window, Overage: 0.1, Slack: slack})
		admitted := make([][]float64, customers)
		for c := range admitted {
			admitted[c] = make([]float64, steps)
		}
		for at := range steps {
			now := startTime.Add(time.Duration(at) * step)
			for node := range restarting {
				if at > 0 && rapid.IntRange(1, oneIn).Draw(t, "restarts if 1") == 1 {
					s.restart(node, now)
				}
			}
			cut := partitioned
			if at/100%2 == 0 {
				cut = -1
			}
			if at%interval == 0 {
				s.exchange(cut, now)
			}
			for due := load * rate * step.Seconds(); due > 0; {
				cost := rapid.SampledFrom([]float64{2, 10, 50, 150}).Draw(t, "cost")
				c := rapid.IntRange(0, customers-1).Draw(t, "customer")
				i := rapid.IntRange(0, nodes-1).Draw(t, "node")
				if ok, _ := s.limiters[i].Take(fmt.Sprint(c), cost, 0, rate, burst, now); ok {
					admitted[c][at] += cost
				}
				due -= cost / float64(customers)
			}
		}
		for c := range admitted {
			checkWindows(t, admitted[c], int(window/step), (rate*window.Seconds()+burst)*1.1+slack)
			checkWindows(t, admitted[c], int(long/step), (rate*long.Seconds()+burst)*1.1+slack)
		}
	})
}

// Guards against admissions that a restarted node misses between the level that it has taken
// over and a customer's first request there.
func TestSharedLimitHoldsWhileDemandMovesThroughRestarts(t *testing.T) {
	const (
		rate, burst, slack = 1000.0, 1000.0, 1200.0
		window             = 8 * time.Second
		step               = 50 * time.Millisecond
		steps              = 800
		cost               = 10.0
	)
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(2, 9).Draw(t, "nodes")
		interval := rapid.IntRange(1, 8).Draw(t, "steps between two exchanges")
		load := rapid.Float64Range(0.2, 6).Draw(t, "demand as a multiple of the limit")
		stay := rapid.IntRange(5, 200).Draw(t, "steps that the demand stays at a node")
		between := rapid.IntRange(10, 400).Draw(t, "steps between two restarts")
		s := newLimiterSystem(nodes, Tolerance{Window: window, Overage: 0.1, Slack: slack})
		admitted := make([]float64, steps)
		for at := range steps {
			now := startTime.Add(time.Duration(at) * step)
			if at%between == between-1 {
				s.restart(at/between%nodes, now)
			}
			if at%interval == 0 {
				s.exchange(-1, now)
			}
			limiter := s.limiters[at/stay%nodes]
			for range int(load * rate * step.Seconds() / cost) {
				if ok, _ := limiter.Take("c", cost, 0, rate, burst, now); ok {
					admitted[at] += cost
				}
			}
		}
		checkWindows(t, admitted, int(window/step), (rate*window.Seconds()+burst)*1.1+slack)
	})
}
