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
	current   *verdicts // nil if an evaluation is due
	possible  verdicts  // the same if all interruptions by unreachable servers turn out to be crashes

	interruptions interruptions
	loaded        bool // the states that were stored when the node started have been applied
}

// suspect is a request or part with crashes, and what became of its state.
type suspect struct {
	state     State
	own       bool      // this node saw one of the crashes
	changedAt time.Time // steady time
	crashedAt time.Time // steady time at which a crash was heard of last; zero if all were known at the start
	revision  int64     // in the store; 0 if not stored
	unstored  bool      // the store lacks part of the state
}

// NewList returns an empty list.
func NewList(now func() time.Time) *List {
	return &List{now: now, startedAt: now(), suspects: map[Digest]*suspect{}, interruptions: interruptions{own: map[Digest][]Interruption{}}}
}

// changed makes the next call of standing evaluate all suspects again.
func (l *List) changed() {
	l.current = nil
	l.active.Store(len(l.suspects)+len(l.interruptions.own)+len(l.interruptions.reported) > 0)
}

// Active reports whether any request is suspected.
func (l *List) Active() bool { return l.active.Load() }

// RecordCrash records a crash that this node saw for a request.
func (l *List) RecordCrash(d Digest, c Crash) Standing {
	return l.RecordCrashOf([]Feature{{Digest: d}}, c).Standing
}

// RecordCrashOf records a crash that this node saw for all features of a request.
func (l *List) RecordCrashOf(features []Feature, c Crash) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range features {
		if f.IsPart {
			c.Tag = features[0].Digest.tag()
		}
		l.merge(State{Digest: f.Digest, IsPart: f.IsPart, Crashes: []Crash{c}}, true)
	}
	return l.decide(features)
}

// Complete records that a request without parts completed at the given agreed time, which clears
// it of earlier crashes. It reports whether it was suspected of any.
func (l *List) Complete(d Digest, at time.Time) bool {
	return l.CompleteAll([]Feature{{Digest: d}}, at)
}

// CompleteAll is Complete for all features of a request.
func (l *List) CompleteAll(features []Feature, at time.Time) (suspected bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at = at.Truncate(time.Millisecond) // the precision of the exchange and the store
	for _, f := range features {
		suspected = l.complete(f, at) || suspected
	}
	return suspected
}

func (l *List) complete(f Feature, at time.Time) (suspected bool) {
	d := f.Digest
	l.completed.record(d, at)
	s := l.suspects[d]
	if (s == nil || len(s.state.open()) == 0) && len(l.interruptions.after(d, time.Time{})) == 0 {
		return false
	}
	l.merge(State{Digest: d, IsPart: f.IsPart, ClearedThrough: at}, true)
	return true
}

// HasCompleted reports whether this node knows that the request has ever completed.
func (l *List) HasCompleted(d Digest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.clearedThrough(d).IsZero()
}

// Standing returns how a request without parts is to be treated.
func (l *List) Standing(d Digest) Standing { return l.Decide([]Feature{{Digest: d}}).Standing }

// Decide returns how a request with the given features is to be treated. The first feature is
// the request itself, the last one the most specific of its parts.
func (l *List) Decide(features []Feature) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.decide(features)
}

// decide evaluates all suspects if anything has changed. A node that has just started has
// not heard yet what completed at other nodes, so it only holds a request back by itself.
func (l *List) decide(features []Feature) (out Decision) {
	l.evaluate()
	for _, f := range features {
		out.add(l.suspicion(f), f.Digest)
	}
	cause, quarantined := l.current.condemns(features)
	_, held := l.possible.condemns(features)
	if quarantined && l.suspects[cause].revision == 0 && l.now().Sub(l.startedAt) < learningPeriod {
		quarantined, held = false, true
	}
	if quarantined {
		out.Quarantined, out.Suspected, out.Cause = true, true, cause
	}
	out.Held = held && !quarantined
	return out
}

// evaluate evaluates all suspects if anything has changed.
func (l *List) evaluate() {
	if l.current != nil {
		return
	}
	current := evaluate(l.suspects)
	l.current, l.possible = &current, current
	if len(l.interruptions.own)+len(l.interruptions.reported) > 0 {
		l.possible = evaluate(l.withInterruptions())
	}
}

// suspicion returns what one feature of a request is suspected of. As sound requests share parts,
// one that has completed is suspected only from the crashes on that would quarantine it otherwise,
// and none for interruptions by servers that are reached.
func (l *List) suspicion(f Feature) (out Standing) {
	clearedThrough := l.clearedThrough(f.Digest)
	out.Crashes = l.current.standings[f.Digest].Crashes
	out.Possible = l.possible.standings[f.Digest].Crashes
	if f.IsPart && !clearedThrough.IsZero() && out.Possible < partSuspicion {
		return Standing{}
	}
	out.Suspected = max(out.Crashes, out.Possible) > 0 || !f.IsPart && len(l.interruptions.after(f.Digest, clearedThrough)) > 0
	return out
}

// clearedThrough returns when a request or part completed last, zero if that is not known.
func (l *List) clearedThrough(d Digest) time.Time {
	at := l.completed.last(d)
	if s := l.suspects[d]; s != nil && s.state.ClearedThrough.After(at) {
		return s.state.ClearedThrough
	}
	return at
}

// add adds the suspicion of a feature. Of those with the most possible crashes the last leads.
func (d *Decision) add(of Standing, digest Digest) {
	if !of.Suspected {
		return
	}
	if !d.Suspected || of.Possible >= d.Possible {
		d.Lead = digest
	}
	d.Suspected = true
	d.Crashes, d.Possible = max(d.Crashes, of.Crashes), max(d.Possible, of.Possible)
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
	crashes := len(s.state.Crashes)
	if !s.state.merge(state) {
		return s
	}
	if len(s.state.Crashes) > crashes {
		s.crashedAt = l.now()
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
		return cmp.Or(cmp.Compare(len(b.state.open()), len(a.state.open())), compareFlags(b.state.IsPart, a.state.IsPart), b.changedAt.Compare(a.changedAt))
	})
	var out []State
	maxOthers := maxReportedCleared
	for _, s := range list {
		brief := s.state.brief(crashesPerReport)
		budget := &maxCrashes
		cost := len(brief.Crashes)
		if cost == 0 {
			budget, cost = &maxOthers, 1
		}
		if *budget >= cost {
			*budget -= cost
			out = append(out, brief)
		}
	}
	return out
}

// SinceCrash returns how long ago this node heard of a crash of a request or part last: what
// completed elsewhere in the meantime may be on its way for a while. What was known when the node
// started is taken to be certain.
func (l *List) SinceCrash(d Digest) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[d]; s != nil {
		return l.now().Sub(s.crashedAt)
	}
	return l.now().Sub(time.Time{})
}

// worthStoring reports whether the state belongs in the store, which must keep it
// if all nodes are lost at once.
func (s *suspect) worthStoring() bool {
	return s.revision != 0 || len(s.state.open()) >= storedAfterCrashes
}
