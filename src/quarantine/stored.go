package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Stored is a state as kept in the store.
type Stored struct {
	State    State
	Revision int64 // of its key
}

const (
	// maxStored bounds the states in the store.
	maxStored = 256
	// takeoverDelay is the time after which a node writes what another node has seen
	// and should have written.
	takeoverDelay = 2 * time.Second
)

// ApplyStored merges the states in the store, of which none is missing up to revision
// complete. A state that was stored before and is missing has been removed, by an
// operator or to make room, and is forgotten.
func (l *List) ApplyStored(list []Stored, complete int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stored := make(map[Digest]bool, len(list))
	for _, item := range list {
		stored[item.State.Digest] = true
		s := l.suspects[item.State.Digest]
		if s != nil && s.revision >= item.Revision {
			continue
		}
		s = l.merge(item.State, false)
		s.revision = item.Revision
		s.unstored = s.state.differs(item.State)
		if !l.loaded {
			s.crashedAt = time.Time{}
		}
	}
	l.loaded = l.loaded || complete > 0 // before, the store has not been read
	for d, s := range l.suspects {
		if s.revision != 0 && s.revision <= complete && !stored[d] {
			l.forget(d)
		}
	}
}

// differs reports whether s holds anything that other lacks.
func (s *State) differs(other State) bool {
	merged := State{IsPart: other.IsPart, ClearedThrough: other.ClearedThrough, Crashes: slices.Clone(other.Crashes), Trials: slices.Clone(other.Trials)}
	return merged.merge(*s)
}

// Unstored returns states that this node should write to the store, at most limit,
// each with the revision of its key that it knows.
func (l *List) Unstored(limit int) []Stored {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Stored
	for _, s := range l.suspects {
		due := s.own || l.now().Sub(s.changedAt) > takeoverDelay
		if len(out) < limit && s.unstored && s.worthStoring() && due {
			out = append(out, Stored{s.state, s.revision})
		}
	}
	return out
}

// Written records that a state was written to the store at a revision.
func (l *List) Written(written Stored) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.merge(written.State, false)
	s.revision = max(s.revision, written.Revision)
	s.unstored = s.state.differs(written.State)
}

// Conflict records that the store holds another state, at another revision, than this
// node expected; revision 0 means none.
func (l *List) Conflict(current Stored) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.merge(current.State, false)
	s.revision = current.Revision
	s.unstored = s.state.differs(current.State)
}

// ToRemove returns the stored states to remove when another one is added: none while
// there is room, else the least useful one, by the same order as evict.
func ToRemove(stored []Stored) []Digest {
	if len(stored) < maxStored {
		return nil
	}
	counts := map[[customerBytes]byte]int{}
	for _, s := range stored {
		counts[s.State.Digest.customer()]++
	}
	victim := slices.MinFunc(stored, func(a, b Stored) int {
		return cmp.Or(
			cmp.Compare(counts[b.State.Digest.customer()], counts[a.State.Digest.customer()]),
			cmp.Compare(len(a.State.open()), len(b.State.open())),
			a.State.LastCrash().Compare(b.State.LastCrash()))
	})
	return []Digest{victim.State.Digest}
}

// TrialDue reports whether a quarantined request may be tried once more, at a server
// of the given version: once after a while, in case it was quarantined wrongly, and
// once at servers with other software. now is the agreed time. Whoever tries it must
// first store the state returned by WithTrial.
func (l *List) TrialDue(d Digest, version string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[d]
	if s == nil || s.revision == 0 || len(s.state.Trials) >= maxTrials {
		return false
	}
	if now.Sub(s.state.LastCrash()) < trialDelay || slices.Contains(s.state.Trials, version) {
		return false
	}
	otherSoftware := !slices.ContainsFunc(s.state.Crashes, func(c Crash) bool { return c.Version == version })
	return len(s.state.Trials) == 0 || otherSoftware
}

// WithTrial returns the state to be stored before a trial.
func (l *List) WithTrial(d Digest, version string) (Stored, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[d]
	if s == nil {
		return Stored{}, false
	}
	state := s.state
	state.Trials = append(slices.Clone(state.Trials), version)
	return Stored{state, s.revision}, true
}
