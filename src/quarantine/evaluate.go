package quarantine

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Limits of the judgment and of what is kept.
const (
	crashesToQuarantine    = 3                // that no other quarantined request explains
	crashesAfterCompletion = 6                // the same for a request that completed before
	spanAfterCompletion    = 5 * time.Second  // without a completion, in which these crashes must lie: popular requests complete all the time
	maxCrashes             = 4                // explained or not
	crashesToIsolate       = 2                // after which a request runs at the quietest server
	learningPeriod         = 2 * time.Second  // after the start of a node, in which it hears of completions
	trialDelay             = 10 * time.Second // from the last crash until a quarantined request may be tried again
	maxTrials              = 2
	maxSuspects            = 2048                   // at a node
	chargesPerReport       = crashesAfterCompletion // of one request: as many as any verdict needs
	reportPeriod           = 15 * time.Second       // for which a node reports what it saw
	clearedPeriod          = 4 * reportPeriod       // until a cleared request is forgotten
	storedAfterCrashes     = 2                      // after which a request is kept in the store
)

// Standing is how a request is to be treated.
type Standing struct {
	Crashes     int  // of servers that had it in progress, without those that another request explains
	Quarantined bool // it must not be sent
}

// Isolated reports whether the request must run apart from other suspects.
func (s Standing) Isolated() bool { return s.Quarantined || s.Crashes >= crashesToIsolate }

// accusation is a suspect with its open charges, while a judgment is made.
type accusation struct {
	digest    Digest
	charges   []Charge
	completed bool    // the request completed before these crashes
	crashes   []int   // index of the crash of each charge
	weight    float64 // sum over the charges of 1 / number of requests charged with the crash
}

// judge decides on all suspects together. Requests that crashed the most servers,
// with the fewest others beside them, are quarantined first; the crashes that they
// explain don't count against the others.
func judge(suspects map[Digest]*suspect) map[Digest]Standing {
	list, beside := accuse(suspects)
	for i := range list {
		for _, crash := range list[i].crashes {
			list[i].weight += 1 / float64(beside[crash])
		}
	}
	slices.SortFunc(list, func(a, b accusation) int {
		return cmp.Or(cmp.Compare(distinct(b.charges), distinct(a.charges)), cmp.Compare(b.weight, a.weight), bytes.Compare(a.digest[:], b.digest[:]))
	})
	explained := map[int]bool{}
	out := make(map[Digest]Standing, len(list))
	for _, a := range list {
		var remaining []Charge
		for i, c := range a.charges {
			if !explained[a.crashes[i]] {
				remaining = append(remaining, c)
			}
		}
		standing := Standing{Crashes: distinct(remaining)}
		if a.isGuilty(standing.Crashes) {
			standing.Quarantined = true
			for _, crash := range a.crashes {
				explained[crash] = true
			}
		}
		out[a.digest] = standing
	}
	return out
}

// isGuilty decides on a request of which the given number of crashes is not explained by
// another one. What completed before is not a request that crashes every server.
func (a *accusation) isGuilty(unexplained int) bool {
	if a.completed {
		span := a.charges[len(a.charges)-1].At.Sub(a.charges[0].At)
		return unexplained >= crashesAfterCompletion && span >= spanAfterCompletion
	}
	return unexplained >= crashesToQuarantine || distinct(a.charges) >= maxCrashes
}

// accuse returns the suspects that have open charges, and by crash the number of
// requests charged with it.
func accuse(suspects map[Digest]*suspect) (list []accusation, beside []int) {
	byServer := map[string][]Charge{} // one charge for each crash
	indexes := map[string][]int{}
	crashOf := func(c Charge) int {
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
		a := accusation{digest: digest, charges: s.state.open(), completed: !s.state.ClearedThrough.IsZero()}
		if len(a.charges) == 0 {
			continue
		}
		for _, c := range a.charges {
			crash := crashOf(c)
			a.crashes = append(a.crashes, crash)
			beside[crash]++
		}
		list = append(list, a)
	}
	return list, beside
}

// distinct counts charges, sorted by time, without those to servers that had the
// request when the crash counted before happened: these may have a common cause.
func distinct(charges []Charge) int { return len(distinctIndexes(charges)) }

// distinctIndexes returns the indexes of the charges that distinct counts.
func distinctIndexes(charges []Charge) []int {
	var counted []int
	var last time.Time
	for i, c := range charges {
		if len(counted) == 0 || !c.SentAt.Before(last) {
			counted = append(counted, i)
			last = c.At
		}
	}
	return counted
}
