// Package route implements the load-balancing policies: given the candidate
// upstreams and a random source, it chooses one for a request.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crankridge/crankridge/src/upstream"
)

const (
	rendezvousSamples = 2    // candidates sampled by rendezvous hashing of the prefix
	randomSamples     = 2    // candidates sampled at random
	boundFactor       = 1.25 // maximum load of a candidate, as a multiple of the mean
	boundSlack        = 2.0  // requests allowed per candidate beyond that, so that the bound is not too tight at low load
	bytesPerToken     = 5.0  // estimate for prompt text
	meanAnswerTokens  = 128  // estimate, determines how long a slot is in use
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	PromptBytes int
	Blocks      []uint64        // prefix block hashes
	Avoid       map[string]bool // names of candidates not to choose
	AvoidDomain map[string]bool // failure domains to choose only if no other is left
}

// Choice is a candidate with its estimated time to first token.
type Choice struct {
	upstream.Candidate
	TTFT time.Duration
}

// Policy is a load-balancing policy.
type Policy string

// The policies. Estimate is the default; the others are baselines for
// comparison.
const (
	Estimate         Policy = "estimate"
	Random           Policy = "random"
	RoundRobin       Policy = "round-robin"
	LeastOutstanding Policy = "least-outstanding"
	TwoChoices       Policy = "two-choices"
)

// Policies lists all policies.
var Policies = []Policy{Estimate, Random, RoundRobin, LeastOutstanding, TwoChoices}

// Chooser applies a policy. It is not safe for concurrent use.
type Chooser struct {
	policy Policy
	next   uint64
}

// NewChooser returns a chooser for the given policy.
func NewChooser(p Policy) *Chooser { return &Chooser{policy: p} }

// Choose chooses one of the candidates, which must be sorted by name. It returns
// false if there are none or the request must avoid all of them.
func (c *Chooser) Choose(cands []upstream.Candidate, r Request, rng *rand.Rand) (Choice, bool) {
	cands = withoutAvoided(cands, r)
	if len(cands) == 0 {
		return Choice{}, false
	}
	var pick upstream.Candidate
	switch c.policy {
	case Random:
		pick = cands[rng.IntN(len(cands))]
	case RoundRobin:
		pick = cands[c.next%uint64(len(cands))]
		c.next++
	case LeastOutstanding:
		pick = leastOutstanding(cands)
	case TwoChoices:
		pick = leastOutstanding([]upstream.Candidate{cands[rng.IntN(len(cands))], cands[rng.IntN(len(cands))]})
	default:
		return lowestTTFT(cands, r, rng), true
	}
	return Choice{pick, EstimateTTFT(pick, r)}, true
}

// withoutAvoided removes the candidates the request must avoid. Candidates in a
// failure domain to avoid are returned only if no others are left.
func withoutAvoided(cands []upstream.Candidate, r Request) []upstream.Candidate {
	var out, avoidedDomain []upstream.Candidate
	for _, c := range cands {
		switch {
		case r.Avoid[c.Name]:
		case r.AvoidDomain[c.FailureDomain]:
			avoidedDomain = append(avoidedDomain, c)
		default:
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return avoidedDomain
	}
	return out
}

func leastOutstanding(cands []upstream.Candidate) upstream.Candidate {
	return slices.MinFunc(cands, func(a, b upstream.Candidate) int { return a.OwnRequests - b.OwnRequests })
}

// lowestTTFT samples candidates by rendezvous hashing of the prefix, by cached
// blocks and at random, and returns the one with the lowest estimated time to
// first token whose load is within the bound. A candidate in slow start is skipped
// at random, with probability 1-SlowStartWeight.
func lowestTTFT(cands []upstream.Candidate, r Request, rng *rand.Rand) Choice {
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
	for _, i := range sampleCandidates(cands, r, rng) {
		consider(cands[i], true)
	}
	if best.TTFT >= 0 {
		return best
	}
	// No sampled candidate was accepted: choose the least loaded of all, which
	// is always within the bound.
	leastLoaded := slices.MinFunc(cands, func(a, b upstream.Candidate) int {
		if a.Busy/a.Slots < b.Busy/b.Slots {
			return -1
		}
		return 1
	})
	return Choice{leastLoaded, EstimateTTFT(leastLoaded, r)}
}

// loadBound returns the maximum load of a candidate, in requests per slot.
func loadBound(cands []upstream.Candidate) float64 {
	busy, slots := 0.0, 0.0
	for _, c := range cands {
		busy += c.Busy
		slots += c.Slots
	}
	mean := busy / slots
	return mean*boundFactor + boundSlack/(slots/float64(len(cands)))
}

func sampleCandidates(cands []upstream.Candidate, r Request, rng *rand.Rand) []int {
	var out []int
	if len(r.Blocks) > 0 {
		out = append(out, rendezvousCandidates(cands, r.Blocks[0])...)
		out = append(out, mostCached(cands))
	}
	for range randomSamples {
		out = append(out, rng.IntN(len(cands)))
	}
	return out
}

// rendezvousCandidates returns the indices of the candidates that rank highest
// for a prefix by rendezvous hashing. The result is the same on every node.
func rendezvousCandidates(cands []upstream.Candidate, block uint64) []int {
	type ranked struct {
		i    int
		hash uint64 // mix(hash) is the score
	}
	var best []ranked
	for i, c := range cands {
		best = append(best, ranked{i, xxhash.Sum64String(c.Name) ^ mix(block)})
	}
	slices.SortFunc(best, func(a, b ranked) int {
		sa, sb := mix(a.hash), mix(b.hash)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return 0
	})
	var out []int
	for _, b := range best[:min(rendezvousSamples, len(best))] {
		out = append(out, b.i)
	}
	return out
}

// mix is the finalizer of MurmurHash3.
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

// blockBytes is the size of a prefix block; it must match blockBytes in package
// engine.
const blockBytes = 256

// EstimateTTFT estimates the time to first token at a candidate: prefill of the
// queued prompt tokens and of the request's uncached tokens, the wait for a
// slot, and one decode step.
func EstimateTTFT(c upstream.Candidate, r Request) time.Duration {
	cachedBytes := float64(c.CachedBlocks*blockBytes) * c.CacheConfidence
	uncachedTokens := max(float64(r.PromptBytes)-cachedBytes, 0) / bytesPerToken
	seconds := (c.QueuedTokens + uncachedTokens) / c.PrefillTPS
	if waiting := c.Busy + 1 - c.Slots; waiting > 0 {
		slotSeconds := c.StepMS / 1000 * meanAnswerTokens
		seconds += waiting / c.Slots * slotSeconds
	}
	seconds += c.StepMS / 1000
	return time.Duration(seconds * float64(time.Second))
}

// Subset returns the upstreams that a node uses, at most size of them, chosen by
// rendezvous hashing with the node's name and spread over the failure domains. A
// size of 0 or less selects all. domainOf maps the names of all upstreams to
// their failure domains.
func Subset(domainOf map[string]string, node string, size int) map[string]bool {
	out := map[string]bool{}
	if size <= 0 || size >= len(domainOf) {
		for name := range domainOf {
			out[name] = true
		}
		return out
	}
	byDomain := map[string][]string{}
	for name, domain := range domainOf {
		byDomain[domain] = append(byDomain[domain], name)
	}
	var domains []string
	for d, list := range byDomain {
		domains = append(domains, d)
		slices.SortFunc(list, func(a, b string) int {
			if rendezvousScore(a, node) > rendezvousScore(b, node) {
				return -1
			}
			return 1
		})
	}
	slices.SortFunc(domains, func(a, b string) int {
		if rendezvousScore(a, node) > rendezvousScore(b, node) {
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

func rendezvousScore(name, node string) uint64 { return mix(xxhash.Sum64String(name + "\x00" + node)) }
