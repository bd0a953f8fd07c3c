package gateway

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the choice.
const (
	failureWeight = 8.0   // requests that a server that always fails seems to have more
	requestTokens = 150.0 // prompt tokens that a running request delays a new prompt by
	readWeight    = 1.5   // of tokens to read against tokens that wait: reading again costs others too
)

// candidate is a server that may take a request, with its load at all nodes.
type candidate struct {
	upstream *upstream
	id       string
	domain   string
	slots    int
	requests int
	unread   int64
	failRate float64
}

func (c candidate) load() float64 {
	return float64(c.requests) + failureWeight*c.failRate
}

// part is one part of a prompt; the last of a prompt belongs to the request
// or its session alone.
type part struct {
	id     string
	tokens int64
}

// parseParts reads "ID:TOKENS,ID:TOKENS"; what it cannot read it leaves out.
func parseParts(text string) []part {
	var out []part
	for _, item := range strings.Split(text, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(item), ":")
		tokens, err := strconv.ParseInt(count, 10, 64)
		if ok && err == nil && tokens >= 0 {
			out = append(out, part{id, tokens})
		}
	}
	return out
}

// leastLoaded picks the candidate with the lowest load, one of the own
// failure domain first, then at random.
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

// prompt is what the choice of an engine depends on.
type prompt struct {
	parts  []part
	tokens int64 // of all parts
	// holds tells whether an engine is believed to keep a part in memory.
	holds func(server, part string) bool
}

// unread is how many tokens of the prompt a candidate would have to read. The
// home of the shared parts is taken to keep them.
func (p prompt) unread(c candidate, home string) int64 {
	left := p.tokens
	for i, one := range p.parts {
		shared := i < len(p.parts)-1
		if !(shared && c.id == home) && !p.holds(c.id, one.id) {
			break
		}
		left -= one.tokens
	}
	return max(left, 0)
}

// chooseEngine picks the engine that has the least to do before this prompt is
// read, the reading of what it does not keep included. It returns the tokens
// to be read there as well.
func chooseEngine(list []candidate, p prompt, domain string, rng *rand.Rand) (best candidate, unread int64, ok bool) {
	if len(list) == 0 {
		return candidate{}, 0, false
	}
	home := ""
	if len(p.parts) >= 2 {
		home = homeOf(list, p.parts[len(p.parts)-2].id).id
	}
	least := math.Inf(1)
	// The one to look at first differs, so that nodes do not all choose the same of equals.
	first := rng.IntN(len(list))
	for i := range list {
		c := list[(first+i)%len(list)]
		tokens := p.unread(c, home)
		work := float64(c.unread) + readWeight*float64(tokens) + requestTokens*c.load()
		if work < least || work == least && c.domain == domain {
			best, unread, least = c, tokens, work
		}
	}
	return best, unread, true
}

// homeOf is the candidate with the highest hash together with the part, so
// that a change of the list moves only what it must.
func homeOf(list []candidate, part string) candidate {
	best, bestHash := list[0], uint64(0)
	for _, c := range list {
		if hash := xxhash.Sum64String(part + "\x00" + c.id); hash >= bestHash {
			best, bestHash = c, hash
		}
	}
	return best
}
