package quarantine

import "time"

// completionsPerGeneration bounds the memory of completions to twice as many requests and parts.
const completionsPerGeneration = 8192

// completions remembers when recent requests completed last. A popular request
// completes all the time, so it must not be suspected for long.
type completions struct {
	recent, older map[Digest]time.Time
}

// record keeps the time at which a request completed.
func (c *completions) record(d Digest, at time.Time) {
	if c.recent == nil || len(c.recent) >= completionsPerGeneration {
		c.recent, c.older = map[Digest]time.Time{}, c.recent
	}
	c.recent[d] = at
}

// last returns when a request completed last, zero if that is not known.
func (c *completions) last(d Digest) time.Time {
	if at, ok := c.recent[d]; ok {
		return at
	}
	return c.older[d]
}
