package quarantine

import (
	"encoding/json"
	"slices"
	"time"
)

// Crash is one crash of a server that had the request in progress.
type Crash struct {
	Server    string    // ID
	Version   string    // software version
	StartedMS int64     // start of the server before the crash, Unix ms
	SentAt    time.Time // when the request was sent there, in the time on which the nodes agree
	At        time.Time // of the crash, in that time; that of the next start where only this shows it
	EndedAt   time.Time // of the response, in that time; zero if it is At
	Tag       uint32    // of a crash that counts against a part: identifies the request that had it
}

// endedAt returns when the run of the request ended.
func (c Crash) endedAt() time.Time {
	if c.EndedAt.IsZero() {
		return c.At
	}
	return c.EndedAt
}

// sameCrashWithin is the time within which two reports about one run of a server
// mean the same crash: a server takes longer to be back.
const sameCrashWithin = time.Second

// sameCrash reports whether two records are about the same crash.
func (c Crash) sameCrash(other Crash) bool {
	within := c.At.Sub(other.At).Abs() < sameCrashWithin || c.endedAt().Sub(other.endedAt()).Abs() < sameCrashWithin
	return c.Server == other.Server && c.StartedMS == other.StartedMS && within
}

// State is what is known of one suspected request, or part of prompts, as exchanged between
// nodes and kept in the store.
type State struct {
	Digest         Digest
	IsPart         bool
	ClearedThrough time.Time // the request completed then: earlier crashes don't count
	Crashes        []Crash
	Trials         []string // server versions on which it was tried while quarantined
}

// maxCrashes bounds the crashes kept for one request.
const maxCrashes = 64

// merge adds what other says and reports whether anything changed. Up to maxCrashes
// crashes, the order and repetition of messages don't matter.
func (s *State) merge(other State) (changed bool) {
	for _, c := range other.Crashes {
		changed = s.addCrash(c) || changed
	}
	if other.IsPart && !s.IsPart {
		s.IsPart = true
		changed = true
	}
	if other.ClearedThrough.After(s.ClearedThrough) {
		s.ClearedThrough = other.ClearedThrough
		changed = true
	}
	for _, version := range other.Trials {
		if !slices.Contains(s.Trials, version) {
			s.Trials = append(slices.Clone(s.Trials), version)
			changed = true
		}
	}
	return changed
}

// addCrash adds a crash unless it is known or not needed. It reports whether the crashes
// changed. Of several runs that one crash ended, the one that ended last is kept.
func (s *State) addCrash(c Crash) (changed bool) {
	all := slices.Clone(s.Crashes)
	if i := slices.IndexFunc(all, c.sameCrash); i >= 0 {
		if c.endedAt().UnixMilli() <= all[i].endedAt().UnixMilli() { // the precision of the exchange and the store
			return false
		}
		all[i] = c
	} else {
		all = append(all, c)
	}
	slices.SortStableFunc(all, func(a, b Crash) int { return a.endedAt().Compare(b.endedAt()) })
	if len(all) > maxCrashes {
		i := s.leastNeeded(all)
		if all[i] == c {
			return false
		}
		all = slices.Delete(all, i, i+1)
	}
	s.Crashes = all
	return true
}

// leastNeeded returns the index of the crash that may be dropped: the oldest one before
// the last completion, else the latest one that doesn't count (see distinct), else the
// oldest. So a decision never rests on crashes that were dropped.
func (s *State) leastNeeded(sorted []Crash) int {
	if !sorted[0].endedAt().After(s.ClearedThrough) {
		return 0
	}
	counted := distinctIndexes(sorted)
	for i := len(sorted) - 1; i >= 0; i-- {
		if !slices.Contains(counted, i) {
			return i
		}
	}
	return 0
}

// brief returns the state with at most limit crashes, for a report: those that count (see
// distinct), latest first.
func (s *State) brief(limit int) State {
	out := State{Digest: s.Digest, IsPart: s.IsPart, ClearedThrough: s.ClearedThrough, Trials: s.Trials}
	open := s.open()
	counted := distinctIndexes(open)
	for _, i := range counted[max(len(counted)-limit, 0):] {
		out.Crashes = append(out.Crashes, open[i])
	}
	return out
}

// open returns the crashes since the request last completed.
func (s *State) open() []Crash {
	for i, c := range s.Crashes {
		if c.endedAt().After(s.ClearedThrough) {
			return s.Crashes[i:]
		}
	}
	return nil
}

// LastCrash returns when the run ended that the latest crash ended, zero if there is none.
func (s *State) LastCrash() time.Time {
	if len(s.Crashes) == 0 {
		return time.Time{}
	}
	return s.Crashes[len(s.Crashes)-1].endedAt()
}

// storedState is the form of a State in the store, under its digest.
type storedState struct {
	IsPart           bool          `json:"part,omitempty"`
	ClearedThroughMS int64         `json:"cleared_through_ms,omitempty"` // Unix ms
	Crashes          []storedCrash `json:"crashes"`
	Trials           []string      `json:"trials,omitempty"`
}

type storedCrash struct {
	Server    string `json:"server"`
	Version   string `json:"version"`
	StartedMS int64  `json:"started_ms"`
	SentMS    int64  `json:"sent_ms"`
	AtMS      int64  `json:"at_ms"`
	EndedMS   int64  `json:"ended_ms,omitempty"`
	Tag       uint32 `json:"tag,omitempty"`
}

// Encode returns the form in which a state is stored under its digest.
func (s *State) Encode() []byte {
	out := storedState{IsPart: s.IsPart, Trials: s.Trials}
	if !s.ClearedThrough.IsZero() {
		out.ClearedThroughMS = s.ClearedThrough.UnixMilli()
	}
	for _, c := range s.Crashes {
		out.Crashes = append(out.Crashes, storedCrash{c.Server, c.Version, c.StartedMS, c.SentAt.UnixMilli(), c.At.UnixMilli(), c.endedAt().UnixMilli(), c.Tag})
	}
	raw, err := json.Marshal(out)
	if err != nil {
		panic("quarantine: encode state: " + err.Error())
	}
	return raw
}

// DecodeState decodes the form returned by Encode.
func DecodeState(d Digest, raw []byte) (State, error) {
	var in storedState
	if err := json.Unmarshal(raw, &in); err != nil {
		return State{}, err
	}
	s := State{Digest: d, IsPart: in.IsPart, Trials: in.Trials}
	if in.ClearedThroughMS != 0 {
		s.ClearedThrough = time.UnixMilli(in.ClearedThroughMS)
	}
	for _, c := range in.Crashes {
		crash := Crash{Server: c.Server, Version: c.Version, StartedMS: c.StartedMS, SentAt: time.UnixMilli(c.SentMS), At: time.UnixMilli(c.AtMS), Tag: c.Tag}
		if c.EndedMS != 0 { // states stored by earlier versions lack it
			crash.EndedAt = time.UnixMilli(c.EndedMS)
		}
		s.addCrash(crash)
	}
	return s, nil
}
