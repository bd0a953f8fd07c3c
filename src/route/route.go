// Package route chooses the upstream for a request. Its functions are pure:
// candidates and a random source go in, a choice comes out.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crankridge/crankridge/src/upstream"
)

// Tunables of the choice.
const (
	homes       = 2    // candidates tried for the sake of the prefix
	randoms     = 2    // candidates tried for the sake of the load
	boundFactor = 1.25 // no candidate is loaded above this multiple of the mean
	boundSlack  = 2.0  // requests allowed above the bound while the load is low
	bytesPerTok = 5.0  // of prompt text, where tokens are not counted
	meanTokens  = 128  // of an answer, to tell how long a slot stays taken
)

// Request is what the choice depends on.
type Request struct {
	PromptBytes int
	Blocks      []uint64
	Avoid       map[string]bool
	AvoidDomain map[string]bool
}

// Choice is a candidate with its estimated time to first token.
type Choice struct {
	upstream.Candidate
	TTFT time.Duration
}

// Policy is one way of choosing, so that ways can be measured side by side.
type Policy string

// The policies. Estimate is the product's; the others are its baselines.
const (
	Estimate         Policy = "estimate"
	Random           Policy = "random"
	RoundRobin       Policy = "round-robin"
	LeastOutstanding Policy = "least-outstanding"
	TwoChoices       Policy = "two-choices"
)

// Policies lists all policies.
var Policies = []Policy{Estimate, Random, RoundRobin, LeastOutstanding, TwoChoices}

// Chooser holds the little state a policy needs.
type Chooser struct {
	policy Policy
	turn   uint64
}

// NewChooser returns a chooser of the given policy.
func NewChooser(p Policy) *Chooser { return &Chooser{policy: p} }

// Choose picks among the candidates; ok is false when none may be used. The
// candidates are in order of name.
func (c *Chooser) Choose(cands []upstream.Candidate, r Request, rng *rand.Rand) (Choice, bool) {
	cands = allowed(cands, r)
	if len(cands) == 0 {
		return Choice{}, false
	}
	var pick upstream.Candidate
	switch c.policy {
	case Random:
		pick = cands[rng.IntN(len(cands))]
	case RoundRobin:
		pick = cands[c.turn%uint64(len(cands))]
		c.turn++
	case LeastOutstanding:
		pick = least(cands)
	case TwoChoices:
		pick = least([]upstream.Candidate{cands[rng.IntN(len(cands))], cands[rng.IntN(len(cands))]})
	default:
		return estimate(cands, r, rng), true
	}
	return Choice{pick, EstimateTTFT(pick, r)}, true
}

// allowed drops what the request must avoid; a failure domain to avoid is
// used all the same when nothing else is left.
func allowed(cands []upstream.Candidate, r Request) []upstream.Candidate {
	var out, second []upstream.Candidate
	for _, c := range cands {
		switch {
		case r.Avoid[c.Name]:
		case r.AvoidDomain[c.FailureDomain]:
			second = append(second, c)
		default:
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return second
	}
	return out
}

func least(cands []upstream.Candidate) upstream.Candidate {
	return slices.MinFunc(cands, func(a, b upstream.Candidate) int { return a.OwnRequests - b.OwnRequests })
}

// estimate looks at the prefix's home candidates, at whoever is believed to
// hold most of the prefix, and at random ones, and takes the one with the
// least estimated time to first token among those under the bound.
func estimate(cands []upstream.Candidate, r Request, rng *rand.Rand) Choice {
	bound := loadBound(cands)
	best := Choice{TTFT: -1}
	consider := func(c upstream.Candidate, bounded bool) {
		if bounded && c.Busy/c.Slots > bound || rng.Float64() > c.SlowStartWeight {
			return
		}
		t := EstimateTTFT(c, r)
		if best.TTFT < 0 || t < best.TTFT {
			best = Choice{c, t}
		}
	}
	for _, i := range sample(cands, r, rng) {
		consider(cands[i], true)
	}
	if best.TTFT >= 0 {
		return best
	}
	// All of the sample is above the bound: the least loaded of all is not.
	low := slices.MinFunc(cands, func(a, b upstream.Candidate) int {
		if a.Busy/a.Slots < b.Busy/b.Slots {
			return -1
		}
		return 1
	})
	return Choice{low, EstimateTTFT(low, r)}
}

func loadBound(cands []upstream.Candidate) float64 {
	busy, slots := 0.0, 0.0
	for _, c := range cands {
		busy += c.Busy
		slots += c.Slots
	}
	mean := busy / slots
	return mean*boundFactor + boundSlack/(slots/float64(len(cands)))
}

func sample(cands []upstream.Candidate, r Request, rng *rand.Rand) []int {
	var out []int
	if len(r.Blocks) > 0 {
		out = append(out, prefixHomes(cands, r.Blocks[0])...)
		out = append(out, mostCached(cands))
	}
	for range randoms {
		out = append(out, rng.IntN(len(cands)))
	}
	return out
}

// prefixHomes are the candidates that rank first for a prefix by rendezvous,
// the same on every node.
func prefixHomes(cands []upstream.Candidate, block uint64) []int {
	type ranked struct {
		i     int
		score uint64
	}
	var best []ranked
	for i, c := range cands {
		best = append(best, ranked{i, xxhash.Sum64String(c.Name) ^ mix(block)})
	}
	slices.SortFunc(best, func(a, b ranked) int {
		sa, sb := mix(a.score), mix(b.score)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return 0
	})
	var out []int
	for _, b := range best[:min(homes, len(best))] {
		out = append(out, b.i)
	}
	return out
}

// mix is the finalizer of MurmurHash3, which spreads every bit.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func mostCached(cands []upstream.Candidate) int {
	best := 0
	for i, c := range cands {
		if c.CachedBlocks > cands[best].CachedBlocks {
			best = i
		}
	}
	return best
}

// blockBytes is the size of a prefix block, as package engine cuts them.
const blockBytes = 256

// FirstToken estimates the time to first token at a candidate: the prompt
// tokens ahead and its own uncached ones over the prefill rate, the wait for
// a slot, and one decode step.
func EstimateTTFT(c upstream.Candidate, r Request) time.Duration {
	cached := float64(c.CachedBlocks*blockBytes) * c.CacheConfidence
	own := max(float64(r.PromptBytes)-cached, 0) / bytesPerTok
	seconds := (c.QueuedTokens + own) / c.PrefillTPS
	if over := c.Busy + 1 - c.Slots; over > 0 {
		hold := c.StepMS / 1000 * meanTokens
		seconds += over / c.Slots * hold
	}
	seconds += c.StepMS / 1000
	return time.Duration(seconds * float64(time.Second))
}

// Subset is the part of the upstreams that a node follows: size of them by
// rendezvous with the node's name, spread over failure domains in turn.
func Subset(names map[string]string, node string, size int) map[string]bool {
	out := map[string]bool{}
	if size <= 0 || size >= len(names) {
		for name := range names {
			out[name] = true
		}
		return out
	}
	byDomain := map[string][]string{}
	for name, domain := range names {
		byDomain[domain] = append(byDomain[domain], name)
	}
	var domains []string
	for d, list := range byDomain {
		domains = append(domains, d)
		slices.SortFunc(list, func(a, b string) int {
			if score(a, node) > score(b, node) {
				return -1
			}
			return 1
		})
	}
	slices.SortFunc(domains, func(a, b string) int {
		if score(a, node) > score(b, node) {
			return -1
		}
		return 1
	})
	for i := 0; len(out) < size; i++ {
		for _, d := range domains {
			if i < len(byDomain[d]) && len(out) < size {
				out[byDomain[d][i]] = true
			}
		}
	}
	return out
}

func score(name, node string) uint64 { return mix(xxhash.Sum64String(name + "\x00" + node)) }
