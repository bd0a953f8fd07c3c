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
