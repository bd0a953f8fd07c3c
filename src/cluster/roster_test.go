package cluster

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Issue 19, BUDGET: a node that heard of no other divided the retry budget by one.
func TestSharesDoNotGrowWhenNewsStops(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRoster("self", func() time.Time { return now })
	r.SetStored([]Entry{{Node: "self", Peers: "s"}, {Node: "a", Peers: "a"}, {Node: "b", Peers: "b"}})
	r.Heard("c", now) // never stored
	is.Equal(r.Count(), 4)
	now = now.Add(time.Hour) // cut off from everything
	is.Equal(r.Others(), []string{"a", "b"})
}

func TestNodeLeavesTheRosterSomeTimeAfterItsEntry(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := NewRoster("self", func() time.Time { return now })
	r.SetStored([]Entry{{Node: "a", Peers: "a"}, {Node: "b", Peers: "b"}})
	now = now.Add(time.Minute)
	r.SetStored(nil) // as when all leases lapse while the store is down
	is.Equal(len(r.Entries()), 2)
	now = now.Add(goneFor / 2)
	r.Heard("b", now)
	r.SetStored([]Entry{{Node: "a", Peers: "a"}}) // a is back
	now = now.Add(goneFor * 3 / 4)
	is.Equal(r.Others(), []string{"a", "b"})
	r.SetStored(nil)
	now = now.Add(goneFor + time.Millisecond)
	is.Equal(r.Count(), 1)
}
