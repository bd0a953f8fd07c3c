package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// Interruption is a run of a request that ended early, where it is not known yet whether the
// server has crashed.
type Interruption struct {
	Digest      Digest
	Parts       []Digest  // of the request's prompt, but for the last
	isPart      bool      // Digest is that of one of the parts
	tag         uint32    // if it is, identifies the request
	Server      string    // ID
	StartedMS   int64     // start of the server, Unix ms
	SentAt      time.Time // when the request was sent there, in the time on which the nodes agree
	EndedAt     time.Time // of the response, in that time
	Unreachable bool      // the server closes new connections since
}

// sameSend reports whether two values are about the same send of a request.
func (i Interruption) sameSend(other Interruption) bool {
	return i.Digest == other.Digest && i.Server == other.Server && i.StartedMS == other.StartedMS && i.SentAt.Equal(other.SentAt)
}

// features returns the interruption as one of the request and one of each part.
func (i Interruption) features() []Interruption {
	out := []Interruption{i}
	for _, part := range i.Parts {
		of := i
		of.Digest, of.Parts, of.isPart, of.tag = part, nil, true, i.Digest.tag()
		out = append(out, of)
	}
	return out
}

// equal reports whether two values are the same.
func (i Interruption) equal(other Interruption) bool {
	return i.sameSend(other) && i.EndedAt.Equal(other.EndedAt) && i.Unreachable == other.Unreachable && slices.Equal(i.Parts, other.Parts)
}

// crash returns the crash that the interruption is taken for until it is explained.
func (i Interruption) crash() Crash {
	return Crash{Server: i.Server, StartedMS: i.StartedMS, SentAt: i.SentAt, At: i.EndedAt, Tag: i.tag}
}

// interruptions holds those that this node has seen, and those that the others report.
type interruptions struct {
	own        map[Digest][]Interruption
	reported   map[Digest][]Interruption
	lastReport []Interruption // from which reported was made
}

// after returns the interruptions of a request that ended later than t.
func (i *interruptions) after(d Digest, t time.Time) []Interruption {
	var out []Interruption
	for _, list := range [][]Interruption{i.own[d], i.reported[d]} {
		for _, item := range list {
			if item.EndedAt.After(t) {
				out = append(out, item)
			}
		}
	}
	return out
}

// unreachable returns the requests with interruptions by servers that are unreachable now.
func (i *interruptions) unreachable() map[Digest]bool {
	out := map[Digest]bool{}
	for _, byDigest := range []map[Digest][]Interruption{i.own, i.reported} {
		for d, list := range byDigest {
			if slices.ContainsFunc(list, func(item Interruption) bool { return item.Unreachable }) {
				out[d] = true
			}
		}
	}
	return out
}

// Interrupt records a run that ended early. Explain must follow.
func (l *List) Interrupt(i Interruption) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, of := range i.features() {
		l.interruptions.own[of.Digest] = append(l.interruptions.own[of.Digest], of)
	}
	l.changed()
}

// SetUnreachable records whether the server of an interruption closes new connections.
func (l *List) SetUnreachable(i Interruption, unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, of := range i.features() {
		list := l.interruptions.own[of.Digest]
		for index := range list {
			if list[index].sameSend(of) {
				list[index].Unreachable = unreachable
			}
		}
	}
	l.changed()
}

// Explain drops an interruption, as it is known whether the server has crashed.
func (l *List) Explain(i Interruption) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, of := range i.features() {
		rest := slices.DeleteFunc(l.interruptions.own[of.Digest], of.sameSend)
		l.interruptions.own[of.Digest] = rest
		if len(rest) == 0 {
			delete(l.interruptions.own, of.Digest)
		}
	}
	l.changed()
}

// SetReported replaces the interruptions that the other nodes report. It sorts the list and
// keeps it.
func (l *List) SetReported(list []Interruption) {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.SortFunc(list, func(a, b Interruption) int {
		return cmp.Or(bytes.Compare(a.Digest[:], b.Digest[:]), cmp.Compare(a.Server, b.Server), a.SentAt.Compare(b.SentAt))
	})
	if slices.EqualFunc(list, l.interruptions.lastReport, Interruption.equal) {
		return
	}
	l.interruptions.lastReport = list
	l.interruptions.reported = map[Digest][]Interruption{}
	for _, i := range list {
		for _, of := range i.features() {
			l.interruptions.reported[of.Digest] = append(l.interruptions.reported[of.Digest], of)
		}
	}
	l.changed()
}

// Interruptions returns at most limit of those that this node has seen, the latest first: of
// several copies of a request at one run of a server, the one that ended last.
func (l *List) Interruptions(limit int) []Interruption {
	l.mu.Lock()
	defer l.mu.Unlock()
	type serverRun struct {
		digest    Digest
		server    string
		startedMS int64
	}
	latest := map[serverRun]Interruption{}
	for _, list := range l.interruptions.own {
		for _, item := range list {
			if item.isPart {
				continue // reported with its request
			}
			key := serverRun{item.Digest, item.Server, item.StartedMS}
			if known, ok := latest[key]; !ok || item.EndedAt.After(known.EndedAt) {
				latest[key] = item
			}
		}
	}
	out := slices.Collect(maps.Values(latest))
	slices.SortFunc(out, func(a, b Interruption) int { return b.EndedAt.Compare(a.EndedAt) })
	return out[:min(len(out), limit)]
}

// withInterruptions returns the suspects as they are if each interruption by a server that
// is unreachable now turns out to be a crash.
func (l *List) withInterruptions() map[Digest]*suspect {
	out := maps.Clone(l.suspects)
	for d := range l.interruptions.unreachable() {
		state := State{Digest: d, ClearedThrough: l.completed.last(d)}
		if s := l.suspects[d]; s != nil {
			state.merge(s.state)
		}
		for _, i := range l.interruptions.after(d, state.ClearedThrough) {
			if i.Unreachable {
				state.IsPart = state.IsPart || i.isPart
				state.addCrash(i.crash())
			}
		}
		out[d] = &suspect{state: state}
	}
	return out
}
