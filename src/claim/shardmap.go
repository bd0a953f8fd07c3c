// Package claim sees to it that a request marked not repeatable is sent by at
// most one attempt.
//
// The key space is cut into shards. The shard map, one value in the key-value
// service changed only by compare-and-swap, gives each shard an epoch and
// three keepers in different failure domains. An attempt may send its request
// once two keepers of one epoch have stored it as the holder of its key. A
// keeper stores one attempt a key and refuses epochs it knows to be over. Two
// majorities of three share a keeper, so no two attempts are granted, and no
// clock is involved. docs/design/at-most-once.md has the argument.
package claim

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/crankridge/crankridge/src/view"
)

// MapKey is where the shard map stands in the key-value service.
const MapKey = view.Prefix + "shardmap"

// KeepersPerShard and Majority are the numbers of keepers kept and needed.
const (
	KeepersPerShard = 3
	Majority        = 2
)

// ReadQuorum is how many of n keepers must be read to see every granted claim.
func ReadQuorum(n int) int { return max(n-Majority+1, 1) }

// Node is a process that can keep records.
type Node struct {
	Name          string `json:"n"`
	Incarnation   string `json:"i"`
	Addr          string `json:"a"` // peer listener
	FailureDomain string `json:"d"`
	VM            string `json:"v,omitempty"`
}

// Shard is one part of the key space at one epoch.
type Shard struct {
	Epoch   int64  `json:"e"`
	Keepers []Node `json:"k"`
	// Active is set once a majority of Keepers holds all records of the
	// source. No keeper stores a claim before.
	Active bool `json:"v,omitempty"`
	// Source and SourceEpoch are the last active keepers, from whom the
	// records come.
	Source      []Node `json:"s,omitempty"`
	SourceEpoch int64  `json:"p,omitempty"`
	// FloorMS is the Unix time, ms, at which the shard lost its records; 0 if never.
	RecordsLostMS int64 `json:"f,omitempty"`
}

// Map is the whole shard map. It is a value; no method changes it.
type Map struct {
	Shards []Shard `json:"shards"`
}

// DecodeMap reads the stored form.
func DecodeMap(raw []byte) (Map, error) {
	var m Map
	err := json.Unmarshal(raw, &m)
	return m, err
}

// Encode gives the stored form.
func (m Map) Encode() []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic("a shard map cannot be encoded: " + err.Error())
	}
	return raw
}

// ShardOf tells which of n shards a key belongs to.
func ShardOf(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}

// Fleet is what the planner of the map knows of nodes.
type Fleet struct {
	Live map[string]Node // by name; nodes that may become or stay keepers
	// Gone tells that this incarnation runs no more, for certain: another
	// has taken its name, or the platform says its VM is terminated. A node
	// that is only silent is not gone.
	Gone func(Node) bool
	// Ready tells for which epoch a node holds all records of a shard; 0 for none.
	Ready func(n Node, shard int) int64
	NowMS int64
}

func (f Fleet) live(n Node) bool {
	l, ok := f.Live[n.Name]
	return ok && l.Incarnation == n.Incarnation
}

// Start is the first map: no record can exist yet, so each shard is active.
func NewMap(shards int, f Fleet) Map {
	m := Map{Shards: make([]Shard, shards)}
	for i := range m.Shards {
		m.Shards[i] = Shard{Epoch: 1, Keepers: pick(i, nil, f), Active: true}
	}
	return m
}

// Next is the map that should follow m, and whether it differs from m.
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
	want := pick(shard, s.Keepers, f)
	switch {
	case len(want) >= min(Majority, len(s.Keepers)) && !sameNodes(want, s.Keepers):
		return s.handOver(want), true
	case s.Active:
		return s, false
	case s.readyKeepers(shard, f) >= min(Majority, len(s.Keepers)):
		s.Active = true
		s.Source = nil
		return s, true
	case s.lostSource(f):
		s.Source = nil
		s.RecordsLostMS = f.NowMS
		s.Epoch++
		return s, true
	}
	return s, false
}

// handOver begins the next epoch. Claims of an epoch that was never active
// do not exist, so its own source stays the source.
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

// lostSource tells that too few of the source's keepers can still exist for
// any majority of them to be read.
func (s Shard) lostSource(f Fleet) bool {
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

// pick chooses the keepers of a shard: those it has, while they live, then
// others by rendezvous, each in another failure domain while there are enough.
func pick(shard int, have []Node, f Fleet) []Node {
	var out []Node
	used := map[string]bool{}
	take := func(n Node, spread bool) {
		dup := slices.ContainsFunc(out, func(o Node) bool { return o.Name == n.Name })
		if len(out) < KeepersPerShard && !dup && (!spread || !used[n.FailureDomain]) {
			out = append(out, n)
			used[n.FailureDomain] = true
		}
	}
	for _, n := range have {
		if f.live(n) {
			take(n, true)
		}
	}
	ranked := rank(shard, f.Live)
	for _, spread := range []bool{true, false} {
		for _, n := range ranked {
			take(n, spread)
		}
	}
	return out
}

func rank(shard int, live map[string]Node) []Node {
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
