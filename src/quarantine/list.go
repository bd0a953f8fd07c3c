package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// List holds the suspected requests that a node knows of.
type List struct {
	now       func() time.Time // steady time of this process
	startedAt time.Time
	active    atomic.Bool
	mu        sync.Mutex
	suspects  map[Digest]*suspect
	completed completions
	standings map[Digest]Standing // nil if an evaluation is due
	held      map[Digest]Standing // the same if all interruptions by unreachable servers turn out to be crashes

	interruptions interruptions
}

// suspect is a request with crashes, and what became of its state.
type suspect struct {
	state     State
	own       bool      // this node saw one of the crashes
	changedAt time.Time // steady time
	revision  int64     // in the store; 0 if not stored
	unstored  bool      // the store lacks part of the state
}

// NewList returns an empty list.
func NewList(now func() time.Time) *List {
	return &List{now: now, startedAt: now(), suspects: map[Digest]*suspect{}, interruptions: interruptions{own: map[Digest][]Interruption{}}}
}

// changed makes the next call of standing evaluate all suspects again.
func (l *List) changed() {
	l.standings, l.held = nil, nil
	l.active.Store(len(l.suspects)+len(l.interruptions.own)+len(l.interruptions.reported) > 0)
}

// Active reports whether any request is suspected.
func (l *List) Active() bool { return l.active.Load() }

// RecordCrash records a crash that this node saw.
func (l *List) RecordCrash(d Digest, c Crash) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.merge(State{Digest: d, Crashes: []Crash{c}}, true)
	return l.standing(d)
}

// Complete records that the request completed at the given agreed time, which clears it
// of earlier crashes. It reports whether it was suspected of any.
func (l *List) Complete(d Digest, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	at = at.Truncate(time.Millisecond) // the precision of the exchange and the store
	l.completed.record(d, at)
	s := l.suspects[d]
	if (s == nil || len(s.state.open()) == 0) && len(l.interruptions.after(d, time.Time{})) == 0 {
		return false
	}
	l.merge(State{Digest: d, ClearedThrough: at}, true)
	return true
}

// HasCompleted reports whether this node knows that the request has ever completed.
func (l *List) HasCompleted(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[d]
	return !l.completed.last(d).IsZero() || s != nil && !s.state.ClearedThrough.IsZero()
}

// Standing returns how the request is to be treated.
func (l *List) Standing(d Digest) Standing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.standing(d)
}

// standing evaluates all suspects if anything has changed. A node that has just started has
// not heard yet what completed at other nodes, so it only holds a request back by itself.
func (l *List) standing(d Digest) Standing {
	if l.standings == nil {
		l.standings = evaluate(l.suspects)
		l.held = l.standings
		if len(l.interruptions.own)+len(l.interruptions.reported) > 0 {
			l.held = evaluate(l.withInterruptions())
		}
	}
	standing := l.standings[d]
	standing.Held = !standing.Quarantined && l.held[d].Quarantined
	standing.Possible = l.held[d].Crashes
	s := l.suspects[d]
	clearedThrough := l.completed.last(d)
	if s != nil && s.state.ClearedThrough.After(clearedThrough) {
		clearedThrough = s.state.ClearedThrough
	}
	standing.Suspected = standing.Quarantined || standing.Crashes > 0 || len(l.interruptions.after(d, clearedThrough)) > 0
	if standing.Quarantined && s.revision == 0 && l.now().Sub(l.startedAt) < learningPeriod {
		standing.Quarantined, standing.Held = false, true
	}
	return standing
}

// Get returns what is known of a request.
func (l *List) Get(d Digest) State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[d]; s != nil {
		return s.state
	}
	return State{Digest: d}
}

// Merge adds what another node reports.
func (l *List) Merge(states []State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range states {
		l.merge(s, false)
	}
}

// merge adds a state. own means that this node made the observation.
func (l *List) merge(state State, own bool) *suspect {
	s := l.suspects[state.Digest]
	if s == nil {
		s = &suspect{state: State{Digest: state.Digest}}
	}
	if !s.state.merge(state) {
		return s
	}
	if at := l.completed.last(state.Digest); at.After(s.state.ClearedThrough) {
		s.state.ClearedThrough = at
		own = true // tell the others
	}
	s.own = s.own || own
	s.unstored = true
	s.changedAt = l.now()
	l.suspects[state.Digest] = s
	if len(l.suspects) > maxSuspects {
		l.evict()
	}
	l.changed()
	return s
}

// evict drops one request: of the customer with the most, the one with the fewest
// crashes, then the oldest. So no customer can push out another's.
func (l *List) evict() {
	counts := map[[customerBytes]byte]int{}
	for d := range l.suspects {
		counts[d.customer()]++
	}
	var victim *suspect
	for d, s := range l.suspects {
		if victim == nil || cmp.Or(
			cmp.Compare(counts[victim.state.Digest.customer()], counts[d.customer()]),
			cmp.Compare(len(s.state.open()), len(victim.state.open())),
			s.state.LastCrash().Compare(victim.state.LastCrash())) < 0 {
			victim = s
		}
	}
	l.forget(victim.state.Digest)
}

func (l *List) forget(d Digest) {
	delete(l.suspects, d)
	l.changed()
}

// forgetCleared drops the requests that completed some time ago, which all nodes have
// heard of by now.
func (l *List) forgetCleared() {
	for d, s := range l.suspects {
		if s.revision == 0 && len(s.state.open()) == 0 && l.now().Sub(s.changedAt) > clearedPeriod {
			l.forget(d)
		}
	}
}

// Report returns what to tell other nodes, with at most maxCrashes crashes in all: recent
// observations of this node, and what belongs in the store but isn't known to be there.
// Those with the most crashes come first.
func (l *List) Report(maxCrashes int) []State {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetCleared()
	var list []*suspect
	for _, s := range l.suspects {
		if s.own && l.now().Sub(s.changedAt) < reportPeriod || s.unstored && s.worthStoring() {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.state.open()), len(a.state.open())), b.changedAt.Compare(a.changedAt))
	})
	var out []State
	for _, s := range list {
		brief := s.state.brief(crashesPerReport)
		maxCrashes -= len(brief.Crashes)
		if maxCrashes < 0 {
			break
		}
		out = append(out, brief)
	}
	return out
}

// worthStoring reports whether the state belongs in the store, which must keep it
// if all nodes are lost at once.
func (s *suspect) worthStoring() bool {
	return s.revision != 0 || len(s.state.open()) >= storedAfterCrashes
}
