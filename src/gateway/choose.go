package gateway

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/crankridge/crankridge/src/quarantine"
)

// Weights of the load estimate.
const (
	failureWeight    = 8.0   // requests added to the load of a server whose failure rate is 1
	tokensPerRequest = 150.0 // prefill tokens that one running request is equivalent to
	prefillWeight    = 1.5   // uncached tokens weigh more than queued ones: prefilling them delays other requests too
)

// candidate is a server that may receive a request, with its load from all nodes.
type candidate struct {
	upstream       *upstream
	id             string
	domain         string
	slots          int
	requests       int
	pendingPrefill int64
	failureRate    float64
	suspects       int // requests in progress that are suspected of having crashed servers
	isolated       int // of these, those that must run apart from other requests
	version        string
	limited        bool // the server has named a limit on its requests
	backingOff     bool // the server has rejected requests and should get no more of this node now
}

func (c candidate) load() float64 {
	return float64(c.requests) + failureWeight*c.failureRate
}

// keepApart returns the candidates for a request of the given standing: none that
// runs a request which must run apart and, for a suspect, none that runs another
// suspect. A rule that would leave no candidate is not applied.
func keepApart(list []candidate, standing quarantine.Standing) []candidate {
	list = preferred(list, func(c candidate) bool { return c.isolated == 0 })
	if standing.Crashes > 0 {
		list = preferred(list, func(c candidate) bool { return c.suspects == 0 })
	}
	return list
}

// preferred returns the candidates that ok accepts, or all if it accepts none.
func preferred(list []candidate, ok func(candidate) bool) []candidate {
	var out []candidate
	for _, c := range list {
		if ok(c) {
			out = append(out, c)
		}
	}
	if len(out) == 0 {
		return list
	}
	return out
}

// promptPart is a segment of a prompt. The last segment is specific to the
// request or its session; the others may be shared.
type promptPart struct {
	id     string
	tokens int64
}

// parsePromptParts parses "ID:TOKENS,ID:TOKENS" and skips malformed items.
func parsePromptParts(text string) []promptPart {
	var out []promptPart
	for _, item := range strings.Split(text, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.ParseInt(count, 10, 64)
		if ok && err == nil && tokens >= 0 {
			out = append(out, promptPart{id, tokens})
		}
	}
	return out
}

// leastLoaded picks the candidate with the lowest load, treating loads that differ
// by at most 0.5 as equal. Ties go to the local failure domain, then to a random
// candidate.
func leastLoaded(list []candidate, domain string, rng *rand.Rand) (candidate, bool) {
	if len(list) == 0 {
		return candidate{}, false
	}
	best := list[0]
	ties := 1
	for _, c := range list[1:] {
		switch {
		case c.load() < best.load()-0.5:
			best, ties = c, 1
		case c.load() > best.load()+0.5:
		case best.domain != domain && c.domain == domain:
			best, ties = c, 1
		case best.domain == domain && c.domain != domain:
		default:
			ties++
			if rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best, true
}

// prompt describes a prompt for engine selection.
type prompt struct {
	parts  []promptPart
	tokens int64 // length of the whole prompt
	// mayHold reports whether a server is likely to have a part cached.
	mayHold func(server, part string) bool
}

// uncachedTokens returns how many tokens of the prompt a candidate would have
// to prefill. owner is the id of the candidate that is assumed to have the shared
// parts cached.
func (p prompt) uncachedTokens(c candidate, owner string) int64 {
	remaining := p.tokens
	for i, part := range p.parts {
		shared := i < len(p.parts)-1
		if !(shared && c.id == owner) && !p.mayHold(c.id, part.id) {
			break
		}
		remaining -= part.tokens
	}
	return max(remaining, 0)
}

// chooseEngine picks the engine with the least work ahead of the first token,
// including the prefill of the uncached part of this prompt. It also returns
// the number of tokens to be prefilled there.
func chooseEngine(list []candidate, p prompt, domain string, rng *rand.Rand) (best candidate, uncached int64, ok bool) {
	if len(list) == 0 {
		return candidate{}, 0, false
	}
	owner := "" // the candidate that the last shared part is assigned to
	if len(p.parts) >= 2 {
		// Limited servers come and go as candidates, so they are not assigned any parts.
		unlimited := preferred(list, func(c candidate) bool { return !c.limited })
		owner = rendezvousOwner(unlimited, p.parts[len(p.parts)-2].id).id
	}
	lowest := math.Inf(1)
	// Start at a random candidate so that nodes do not all pick the same one of several equals.
	offset := rng.IntN(len(list))
	for i := range list {
		c := list[(offset+i)%len(list)]
		tokens := p.uncachedTokens(c, owner)
		work := float64(c.pendingPrefill) + prefillWeight*float64(tokens) + tokensPerRequest*c.load()
		if work < lowest || work == lowest && c.domain == domain {
			best, uncached, lowest = c, tokens, work
		}
	}
	return best, uncached, true
}

// rendezvousOwner picks the candidate for a prompt part by rendezvous hashing,
// so that adding or removing a server moves only the parts that it owns.
func rendezvousOwner(list []candidate, part string) candidate {
	best, bestHash := list[0], uint64(0)
	for _, c := range list {
		if hash := xxhash.Sum64String(part + "\x00" + c.id); hash >= bestHash {
			best, bestHash = c, hash
		}
	}
	return best
}
