package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Limits of the evaluation and of what is kept.
const (
	crashesToQuarantine    = 3                // that no other quarantined request explains
	crashesAfterCompletion = 6                // the same for a request that completed before
	spanAfterCompletion    = 5 * time.Second  // without a completion, in which these crashes must lie: popular requests complete all the time
	maxTotalCrashes        = 4                // explained or not
	crashesToIsolate       = 2                // after which other requests avoid the server that runs it
	learningPeriod         = 2 * time.Second  // after the start of a node, in which it hears of completions
	trialDelay             = 10 * time.Second // from the last crash until a quarantined request may be tried again
	maxTrials              = 2
	maxSuspects            = 2048                   // at a node
	crashesPerReport       = crashesAfterCompletion // of one request: as many as any decision needs
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

// Isolated reports whether the request must run apart from other suspects.
func (s Standing) Isolated() bool { return s.Quarantined || s.Crashes >= crashesToIsolate }

// evidence is what an evaluation considers of one suspect.
type evidence struct {
	digest    Digest
	crashes   []Crash // since its last completion
	completed bool    // the request completed before these crashes
	events    []int   // for each crash, an index that it shares with the other requests which ran there
	weight    float64 // sum over the crashes of 1 / number of requests that ran there
}

// evaluate decides on all suspects together. Requests that crashed the most servers,
// with the fewest others beside them, are quarantined first; the crashes that they
// explain don't count against the others.
func evaluate(suspects map[Digest]*suspect) map[Digest]Standing {
	list, beside := collectEvidence(suspects)
	for i := range list {
		for _, event := range list[i].events {
			list[i].weight += 1 / float64(beside[event])
		}
	}
	slices.SortFunc(list, func(a, b evidence) int {
		return cmp.Or(cmp.Compare(distinct(b.crashes), distinct(a.crashes)), cmp.Compare(b.weight, a.weight), bytes.Compare(a.digest[:], b.digest[:]))
	})
	explained := map[int]bool{}
	out := make(map[Digest]Standing, len(list))
	for _, a := range list {
		var remaining []Crash
		for i, c := range a.crashes {
			if !explained[a.events[i]] {
				remaining = append(remaining, c)
			}
		}
		standing := Standing{Crashes: distinct(remaining)}
		if a.mustQuarantine(standing.Crashes) {
			standing.Quarantined = true
			for _, event := range a.events {
				explained[event] = true
			}
		}
		out[a.digest] = standing
	}
	return out
}

// mustQuarantine decides on a request of which the given number of crashes is not
// explained by another one. What completed before is not a request that crashes every server.
func (a *evidence) mustQuarantine(unexplained int) bool {
	if a.completed {
		span := a.crashes[len(a.crashes)-1].endedAt().Sub(a.crashes[0].endedAt())
		return unexplained >= crashesAfterCompletion && span >= spanAfterCompletion
	}
	return unexplained >= crashesToQuarantine || distinct(a.crashes) >= maxTotalCrashes
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
		a := evidence{digest: digest, crashes: s.state.open(), completed: !s.state.ClearedThrough.IsZero()}
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
