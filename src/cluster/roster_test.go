package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Issue 19: a node that heard from no other divided the retry budget by one.
func TestRosterKeepsUnreachableNodes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRoster("self", func() time.Time { return now })
	r.SetStored([]Entry{{Node: "self", Peers: "s"}, {Node: "a", Peers: "a"}, {Node: "b", Peers: "b"}})
	r.Heard("c", now) // never stored
	is.Equal(r.Count(), 4)
	now = now.Add(time.Hour) // isolated from the store and all nodes
	is.Equal(r.Others(), []string{"a", "b"})
}

func TestRosterRemovesNodeAfterDelay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRoster("self", func() time.Time { return now })
	r.SetStored([]Entry{{Node: "a", Peers: "a"}, {Node: "b", Peers: "b"}})
	now = now.Add(time.Minute)
	r.SetStored(nil) // as if all leases expired while the store was down
	is.Equal(len(r.Entries()), 2)
	now = now.Add(removalDelay / 2)
	r.Heard("b", now)
	r.SetStored([]Entry{{Node: "a", Peers: "a"}}) // a is back
	now = now.Add(removalDelay * 3 / 4)
	is.Equal(r.Others(), []string{"a", "b"})
	r.SetStored(nil)
	now = now.Add(removalDelay + time.Millisecond)
	is.Equal(r.Count(), 1)
}

// Guards against nodes that exchange through hubs because of nodes that have been replaced, and
// against a large system that does without hubs when the store has lost all leases at once.
func TestPresentNodesAreThoseStored(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRoster("self", func() time.Time { return now })
	entries := []Entry{{Node: "a", Peers: "a"}, {Node: "b", Peers: "b"}, {Node: "self", Peers: "s"}}
	r.SetStored(entries)
	r.SetStored(entries[1:])
	is.Equal(r.Present(), entries[1:])
	is.Equal(r.Entries(), entries)
	r.SetStored(nil)
	is.Equal(r.Present(), entries)
	now = now.Add(removalDelay + time.Millisecond)
	is.Equal(len(r.Present()), 0)
}
