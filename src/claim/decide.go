package claim

// Decision is the outcome of a round of claims.
type Decision int

// Decisions of a Tally.
const (
	Wait        Decision = iota // more replies are needed
	Granted                     // the attempt may be sent
	Contested                   // another attempt holds the key
	Unavailable                 // a majority cannot be reached
	Outdated                    // the coordinator's map is older than the keepers'
)

// Tally counts the replies to one round of claims.
type Tally struct {
	Asked       int // keepers that were sent the claim
	Required    int // keepers that must store the claim: Majority, except on a single node
	Stored      int
	Failed      int      // no reply, not ready, or full
	Stale       int      // the claim's epoch has ended
	HeldRecords []Record // records of the key, from the keepers at which another attempt holds it
}

// Add counts a reply; nil means that none was received.
func (t *Tally) Add(r *Reply) {
	switch {
	case r == nil:
		t.Failed++
	case r.Verdict == Stored:
		t.Stored++
	case r.Verdict == Held && r.Held != nil:
		t.HeldRecords = append(t.HeldRecords, *r.Held)
	case r.Verdict == StaleEpoch:
		t.Stale++
	default:
		t.Failed++
	}
}

func (t *Tally) replies() int { return t.Stored + t.Failed + t.Stale + len(t.HeldRecords) }

// Decide returns the decision that follows from the replies so far.
func (t *Tally) Decide() Decision {
	pending := t.Asked - t.replies()
	switch {
	case t.Stored >= t.Required:
		return Granted
	case t.Stored+pending >= t.Required && pending > 0:
		return Wait // the attempt can still be granted
	case pending > 0 && len(t.HeldRecords) == 0:
		return Wait // it cannot, but a pending reply may name a rival attempt
	case len(t.HeldRecords) > 0:
		return Contested
	case t.Stale > 0:
		return Outdated
	}
	return Unavailable
}

// Rivals returns the distinct other attempts that keepers hold for the key.
func (t *Tally) Rivals(own string) []Attempt {
	seen := map[string]bool{own: true}
	var out []Attempt
	for _, h := range t.HeldRecords {
		for _, a := range h.Attempts {
			if !seen[a.ID] {
				seen[a.ID] = true
				out = append(out, a)
			}
		}
	}
	return out
}
