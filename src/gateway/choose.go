package gateway

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the choice.
const (
	homeSlack     = 8   // requests by which a home may exceed the least loaded engine
	failureWeight = 8.0 // requests that a server that always fails seems to have more
)

// candidate is a server that may take a request, with its load at all nodes.
type candidate struct {
	server   *server
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

// chooseEngine prefers the home of the prompt's shared parts, so that they
// are read there once, unless the home has much more to do than others.
func chooseEngine(list []candidate, parts []part, domain string, rng *rand.Rand) (candidate, bool) {
	least, ok := leastLoaded(list, domain, rng)
	if !ok || len(parts) < 2 {
		return least, ok
	}
	home := homeOf(list, parts[len(parts)-2].id)
	if home.load() <= least.load()+homeSlack {
		return home, true
	}
	return least, true
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
