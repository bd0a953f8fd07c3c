package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of the evaluation and of what is kept.
const (
	crashesToQuarantine    = 3                       // that no other quarantined request explains
	partCrashes            = 5                       // the same for a part: many requests share it, sound ones too
	crashesAfterCompletion = 6                       // the same for a request that completed before
	spanAfterCompletion    = 5 * time.Second         // without a completion, in which these crashes must lie: popular requests complete all the time
	partSuspicion          = 3                       // crashes from which a part that has completed is suspected
	partSpan               = 2500 * time.Millisecond // the same for parts, which many requests share and complete more often
	completionMemory       = time.Minute             // before the first crash, for which a completion speaks for a part
	maxTotalCrashes        = 4                       // of a whole request, explained or not
	crashesToIsolate       = 2                       // after which other requests avoid the server that runs it
	learningPeriod         = 2 * time.Second         // after the start of a node, in which it hears of completions
	trialDelay             = 10 * time.Second        // from the last crash until a quarantined request may be tried again
	maxTrials              = 2
	maxSuspects            = 2048                   // at a node
	crashesPerReport       = crashesAfterCompletion // of one request: as many as any decision needs
	maxReportedCleared     = 64                     // requests and parts without crashes since they completed, in a report
	reportPeriod           = 15 * time.Second       // for which a node reports what it saw
	clearedPeriod          = 4 * reportPeriod       // until a cleared request is forgotten
	storedAfterCrashes     = 2                      // after which a request is kept in the store
)

// Standing is how a request is to be treated.
type Standing struct {
	Crashes     int  // of servers that had it in progress, without those that another request explains
	Quarantined bool // it must not be sent
	Held        bool // it must not be sent until its interruptions are explained
	Suspected   bool // of these crashes, or of interruptions since its last completion
	Possible    int  // crashes if all interruptions by unreachable servers turn out to be some
}

// Decision is the standing of a request with all its features, and which of them it is due to.
type Decision struct {
	Standing
	Lead  Digest // if it is suspected: of the feature that is suspected most
	Cause Digest // if it is quarantined: of the feature that is, or of the first of several
}

// Isolated reports whether the request must run apart from other suspects.
func (s Standing) Isolated() bool { return s.Quarantined || s.Crashes >= crashesToIsolate }

// verdicts are the results of an evaluation.
type verdicts struct {
	standings map[Digest]Standing
	groups    map[Digest][]Digest // by quarantined digest: itself and those from which nothing tells it apart, sorted
}

// condemns reports whether one of a request's features is quarantined, together with all from
// which nothing tells it apart, and returns the first of these.
func (v verdicts) condemns(features []Feature) (cause Digest, condemned bool) {
	for _, f := range features {
		group := v.groups[f.Digest]
		isMissing := func(d Digest) bool {
			return !slices.ContainsFunc(features, func(other Feature) bool { return other.Digest == d })
		}
		if len(group) > 0 && !slices.ContainsFunc(group, isMissing) {
			return group[0], true
		}
	}
	return Digest{}, false
}

// evidence is what an evaluation considers of one suspect.
type evidence struct {
	digest    Digest
	isPart    bool
	crashes   []Crash // since its last completion
	completed bool    // it completed shortly before these crashes
	events    []int   // for each crash, an index that it shares with the other requests which ran there
	weight    float64 // sum over the crashes of 1 / number of requests that ran there
}

// evaluate decides on all suspects together. What has never completed comes first, then what
// crashed the most servers, requests before the parts that others share, and those with the
// fewest others beside them. The crashes that one explains don't count against the others. Parts
// that the same requests had at all their unexplained crashes are quarantined together: only a
// request that has all of them is refused.
func evaluate(suspects map[Digest]*suspect) verdicts {
	list, beside := collectEvidence(suspects)
	for i := range list {
		for _, event := range list[i].events {
			list[i].weight += 1 / float64(beside[event])
		}
	}
	slices.SortFunc(list, func(a, b evidence) int {
		return cmp.Or(compareFlags(a.completed, b.completed), cmp.Compare(distinct(b.crashes), distinct(a.crashes)), compareFlags(a.isPart, b.isPart),
			cmp.Compare(b.weight, a.weight), bytes.Compare(a.digest[:], b.digest[:]))
	})
	explained := map[int]bool{}
	out := verdicts{make(map[Digest]Standing, len(list)), map[Digest][]Digest{}}
	for i, a := range list {
		if _, ok := out.standings[a.digest]; ok {
			continue // quarantined together with another one
		}
		crashes := distinct(a.unexplained(explained))
		if !a.mustQuarantine(crashes) {
			out.standings[a.digest] = Standing{Crashes: crashes}
			continue
		}
		out.quarantine(list[i:], explained, Standing{Crashes: crashes, Quarantined: true})
	}
	return out
}

// compareFlags orders false before true.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// quarantine quarantines the first of a list, together with those later parts from which nothing
// tells it apart, and marks the crashes that they explain.
func (v verdicts) quarantine(list []evidence, explained map[int]bool, standing Standing) {
	first := list[0]
	group := []Digest{first.digest}
	for _, other := range list[1:] {
		_, decided := v.standings[other.digest]
		if !decided && first.isPart && other.isPart && first.completed == other.completed && first.sameRuns(other, explained) {
			group = append(group, other.digest)
		}
	}
	slices.SortFunc(group, func(a, b Digest) int { return bytes.Compare(a[:], b[:]) })
	for _, digest := range group {
		v.standings[digest], v.groups[digest] = standing, group
	}
	for _, event := range first.events {
		explained[event] = true
	}
}

// unexplained returns the crashes that nothing explains.
func (a *evidence) unexplained(explained map[int]bool) (out []Crash) {
	for i, c := range a.crashes {
		if !explained[a.events[i]] {
			out = append(out, c)
		}
	}
	return out
}

// sameRuns reports whether the same unexplained crashes count against both parts, each time by
// the same request.
func (a *evidence) sameRuns(other evidence, explained map[int]bool) bool {
	return maps.Equal(a.requests(explained), other.requests(explained))
}

// requests returns the tag of the request that had the part, by unexplained crash.
func (a *evidence) requests(explained map[int]bool) map[int]uint32 {
	out := map[int]uint32{}
	for i, c := range a.crashes {
		if event := a.events[i]; !explained[event] {
			out[event] = c.Tag
		}
	}
	return out
}

// mustQuarantine decides on a suspect of which the given number of crashes is not explained by
// another one. What completed before is nothing that crashes every server. Whole requests are
// quarantined for explained crashes, too: two that always run together may both be guilty. Sound
// requests share parts with guilty ones.
func (a *evidence) mustQuarantine(unexplained int) bool {
	if a.completed {
		span := a.crashes[len(a.crashes)-1].endedAt().Sub(a.crashes[0].endedAt())
		return unexplained >= crashesAfterCompletion && span >= a.requiredSpan()
	}
	if a.isPart {
		return unexplained >= partCrashes
	}
	return unexplained >= crashesToQuarantine || distinct(a.crashes) >= maxTotalCrashes
}

// requiredSpan is the time without a completion in which the crashes of what completed before lie.
func (a *evidence) requiredSpan() time.Duration {
	if a.isPart {
		return partSpan
	}
	return spanAfterCompletion
}

// completedBefore reports whether a completion before the first open crash speaks for a request
// or, if it was shortly before, for a part.
func (s *State) completedBefore() bool {
	open := s.open()
	if !s.IsPart || len(open) == 0 {
		return !s.ClearedThrough.IsZero()
	}
	return open[0].endedAt().Sub(s.ClearedThrough) <= completionMemory
}

// collectEvidence returns the suspects with crashes since their last completion, and, by
// the index in evidence.events, how many requests ran at the server that crashed.
func collectEvidence(suspects map[Digest]*suspect) (list []evidence, beside []int) {
	byServer := map[string][]Crash{} // one of each event
	indexes := map[string][]int{}
	eventOf := func(c Crash) int {
		for i, known := range byServer[c.Server] {
			if known.sameCrash(c) {
				return indexes[c.Server][i]
			}
		}
		byServer[c.Server] = append(byServer[c.Server], c)
		indexes[c.Server] = append(indexes[c.Server], len(beside))
		beside = append(beside, 0)
		return len(beside) - 1
	}
	for digest, s := range suspects {
		a := evidence{digest: digest, isPart: s.state.IsPart, crashes: s.state.open(), completed: s.state.completedBefore()}
		if len(a.crashes) == 0 {
			continue
		}
		for _, c := range a.crashes {
			event := eventOf(c)
			a.events = append(a.events, event)
			beside[event]++
		}
		list = append(list, a)
	}
	return list, beside
}

// distinct counts crashes, sorted by the end of the run, without those of servers that had
// the request when the run counted before ended: these may have a common cause.
func distinct(crashes []Crash) int { return len(distinctIndexes(crashes)) }

// distinctIndexes returns the indexes of the crashes that distinct counts.
func distinctIndexes(crashes []Crash) []int {
	var counted []int
	var last time.Time
	for i, c := range crashes {
		if len(counted) == 0 || !c.SentAt.Before(last) {
			counted = append(counted, i)
			last = c.endedAt()
		}
	}
	return counted
}
