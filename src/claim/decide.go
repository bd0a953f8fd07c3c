package claim

// Decision is what a coordinator does after asking the keepers.
type Decision int

// The decisions.
const (
	Wait        Decision = iota // too few answers yet
	Granted                     // send
	Contested                   // another attempt holds the key
	Unavailable                 // no majority can be had now
	Outdated                    // the coordinator's map is older than the keepers'
)

// Tally gathers the replies to one round of claims.
type Tally struct {
	Asked    int
	Required int // keepers that must store the claim; Majority but for single-node use
	Stored   int
	Failed   int // no answer, not ready, or full
	Stale    int
	Holders  []Record
}

// Add counts one reply; nil stands for no answer.
func (t *Tally) Add(r *Reply) {
	switch {
	case r == nil:
		t.Failed++
	case r.Verdict == Stored:
		t.Stored++
	case r.Verdict == Held && r.Held != nil:
		t.Holders = append(t.Holders, *r.Held)
	case r.Verdict == StaleEpoch:
		t.Stale++
	default:
		t.Failed++
	}
}

func (t *Tally) answered() int { return t.Stored + t.Failed + t.Stale + len(t.Holders) }

// Decide tells what the replies so far amount to.
func (t *Tally) Decide() Decision {
	open := t.Asked - t.answered()
	switch {
	case t.Stored >= t.Required:
		return Granted
	case t.Stored+open >= t.Required && open > 0:
		return Wait
	case open > 0 && len(t.Holders) == 0:
		return Wait
	case len(t.Holders) > 0:
		return Contested
	case t.Stale > 0:
		return Outdated
	}
	return Unavailable
}

// Rivals lists each other attempt that some keeper holds, once.
func (t *Tally) Rivals(own string) []Attempt {
	seen := map[string]bool{own: true}
	var out []Attempt
	for _, h := range t.Holders {
		for _, a := range h.Attempts {
			if !seen[a.ID] {
				seen[a.ID] = true
				out = append(out, a)
			}
		}
	}
	return out
}
