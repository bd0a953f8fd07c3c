// Package claim ensures that a request marked not repeatable is sent by at most
// one attempt.
//
// The key space is divided into shards. The shard map, a single value in the
// key-value service that is updated by compare-and-swap, assigns each shard an
// epoch and three keepers in different failure domains. An attempt may send its
// request once two keepers of one epoch have stored it as the holder of its
// key. A keeper stores one attempt per key and refuses claims for ended epochs.
// Any two majorities of three share a keeper, so at most one attempt is granted,
// without relying on clocks. The coordinator of an attempt is the node that makes
// the attempt. See docs/design/at-most-once.md for the proof.
package claim

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crankridge/crankridge/src/view"
)

// MapKey is the key of the shard map in the key-value service.
const MapKey = view.Prefix + "shardmap"

// KeepersPerShard is the number of keepers of a shard, and Majority the number
// that must store a claim.
const (
	KeepersPerShard = 3
	Majority        = 2
)

// ReadQuorum returns how many of n keepers must be read to see every granted claim.
func ReadQuorum(n int) int { return max(n-Majority+1, 1) }

// Node is a process that can be a keeper.
type Node struct {
	Name          string `json:"n"`
	Incarnation   string `json:"i"`
	Addr          string `json:"a"` // peer listener
	FailureDomain string `json:"d"`
	VM            string `json:"v,omitempty"`
}

// Shard is the assignment of one shard of the key space.
type Shard struct {
	Epoch   int64  `json:"e"`
	Keepers []Node `json:"k"`
	// Active is set once a majority of Keepers holds all records of Source.
	// Keepers refuse claims until then.
	Active bool `json:"v,omitempty"`
	// Source and SourceEpoch are the last active keepers and their epoch,
	// from which the records are copied.
	Source      []Node `json:"s,omitempty"`
	SourceEpoch int64  `json:"p,omitempty"`
	// RecordsLostMS is the Unix time, in ms, at which the shard last lost its claim
	// records, because too few keepers of Source were left to read them; 0 if never.
	// Until the claim window after it has passed, requests that are not repeatable
	// are refused unless marked as the first use of their key.
	RecordsLostMS int64 `json:"f,omitempty"`
}

// Map is the shard map. Its methods do not modify it.
type Map struct {
	Shards []Shard `json:"shards"`
}

// DecodeMap decodes a map from its stored form.
func DecodeMap(raw []byte) (Map, error) {
	var m Map
	err := json.Unmarshal(raw, &m)
	return m, err
}

// Encode returns the stored form of the map.
func (m Map) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic("claim: encode shard map: " + err.Error())
	}
	return raw
}

// ShardOf returns the index of the shard, out of n, that a key belongs to.
func ShardOf(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}

// Fleet describes the nodes from which the shard map is computed.
type Fleet struct {
	Live map[string]Node // nodes that may be keepers, by name
	// Gone reports whether this incarnation has certainly ended: another one
	// has its name, or the platform reports its VM as terminated. A node that
	// merely doesn't respond is not gone.
	Gone func(Node) bool
	// Ready returns the epoch for which a node holds all records of a shard, or 0.
	Ready func(n Node, shard int) int64
	NowMS int64
}

func (f Fleet) live(n Node) bool {
	l, ok := f.Live[n.Name]
	return ok && l.Incarnation == n.Incarnation
}

// NewMap returns the initial map. All shards are active, as no records exist yet.
func NewMap(shards int, f Fleet) Map {
	m := Map{Shards: make([]Shard, shards)}
	for i := range m.Shards {
		m.Shards[i] = Shard{Epoch: 1, Keepers: selectKeepers(i, nil, f), Active: true}
	}
	return m
}

// Next returns the map that should follow m and whether it differs from m.
func (m Map) Next(f Fleet) (Map, bool) {
	out := Map{Shards: slices.Clone(m.Shards)}
	changed := false
	for i, s := range m.Shards {
		next, moved := s.next(i, f)
		out.Shards[i] = next
		changed = changed || moved
	}
	return out, changed
}

func (s Shard) next(shard int, f Fleet) (Shard, bool) {
	want := selectKeepers(shard, s.Keepers, f)
	switch {
	case len(want) >= min(Majority, len(s.Keepers)) && !sameNodes(want, s.Keepers):
		return s.handOver(want), true
	case s.Active:
		return s, false
	case s.readyKeepers(shard, f) >= min(Majority, len(s.Keepers)):
		s.Active = true
		s.Source = nil
		return s, true
	case s.sourceLost(f):
		s.Source = nil
		s.RecordsLostMS = f.NowMS
		s.Epoch++
		return s, true
	}
	return s, false
}

// handOver starts the next epoch. If the current epoch was never active, it has
// no claims, so the source stays the same.
func (s Shard) handOver(keepers []Node) Shard {
	next := Shard{Epoch: s.Epoch + 1, Keepers: keepers, Source: s.Source, SourceEpoch: s.SourceEpoch, RecordsLostMS: s.RecordsLostMS}
	if s.Active {
		next.Source = s.Keepers
		next.SourceEpoch = s.Epoch
	}
	return next
}

func (s Shard) readyKeepers(shard int, f Fleet) int {
	n := 0
	for _, k := range s.Keepers {
		if f.live(k) && f.Ready(k, shard) == s.Epoch {
			n++
		}
	}
	return n
}

// sourceLost reports whether too many keepers of the source are gone for a read
// quorum.
func (s Shard) sourceLost(f Fleet) bool {
	if len(s.Source) == 0 {
		return false
	}
	left := 0
	for _, k := range s.Source {
		if !f.Gone(k) {
			left++
		}
	}
	return left < ReadQuorum(len(s.Source))
}

// selectKeepers selects the keepers of a shard: its current keepers that are live,
// one per failure domain, then other nodes by rendezvous hashing. A failure domain
// gets a second keeper, even a current one, only if there are too few domains.
func selectKeepers(shard int, current []Node, f Fleet) []Node {
	var out []Node
	used := map[string]bool{}
	add := func(n Node, spread bool) {
		dup := slices.ContainsFunc(out, func(o Node) bool { return o.Name == n.Name })
		if len(out) < KeepersPerShard && !dup && (!spread || !used[n.FailureDomain]) {
			out = append(out, n)
			used[n.FailureDomain] = true
		}
	}
	for _, n := range current {
		if f.live(n) {
			add(n, true)
		}
	}
	ranked := rankNodes(shard, f.Live)
	for _, spread := range []bool{true, false} {
		for _, n := range ranked {
			add(n, spread)
		}
	}
	return out
}

func rankNodes(shard int, live map[string]Node) []Node {
	nodes := slices.Collect(maps.Values(live))
	score := func(n Node) uint64 {
		return xxhash.Sum64String(n.Name + "\x00" + string(rune(shard)))
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		sa, sb := score(a), score(b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		}
		return 0
	})
	return nodes
}

func sameNodes(a, b []Node) bool {
	if len(a) != len(b) {
		return false
	}
	for _, n := range a {
		if !slices.ContainsFunc(b, func(o Node) bool { return o.Name == n.Name && o.Incarnation == n.Incarnation }) {
			return false
		}
	}
	return true
}
