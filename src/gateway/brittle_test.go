package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestParseBrittle(t *testing.T) {
	for _, c := range []struct {
		values     []string
		rejections int
		brittle    bool
		bad        bool
	}{
		{nil, 0, false, false},
		{[]string{"8"}, 8, true, false},
		{[]string{" 0 "}, 0, true, false},
		{[]string{"8", "3"}, 3, true, false},
		{[]string{"-1"}, 0, false, true},
		{[]string{"few", "3"}, 3, true, true},
		{[]string{"1.5"}, 0, false, true},
	} {
		is := is.New(t)
		rejections, brittle, err := parseBrittle(c.values)
		is.Equal(rejections, c.rejections)
		is.Equal(brittle, c.brittle)
		is.Equal(err != nil, c.bad)
	}
}

// Guards against nodes that together send a brittle server more than it has places for, or may
// have more rejected than it bears, also where it bears fewer than there are nodes.
func TestPartsOfBrittleServerAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 40).Draw(t, "nodes")
		slots, rejections := rapid.IntRange(0, 80).Draw(t, "slots"), rapid.IntRange(0, 20).Draw(t, "rejections")
		var nodes []string
		for i := range count {
			nodes = append(nodes, fmt.Sprint("node-", i))
		}
		var sum places
		for _, self := range nodes {
			part := placesAt(self, nodes, "i-1", slots, rejections)
			sum.own += part.own
			sum.rejections += part.rejections
		}
		if slots == 0 {
			slots = count // not known
		}
		if sum.own != slots || sum.rejections != rejections {
			t.Fatalf("%d nodes: %+v of %d places and %d rejections", count, sum, slots, rejections)
		}
	})
}

// Guards against a node that sends a brittle server more than its own part, or more after a
// rejection that has used up what it may have rejected.
func TestNodeKeepsToItsPartOfBrittleServer(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(1)
	s := pool.byService["s"][0]
	agreed := pool.now()
	has := func() bool {
		return pool.hasPlace(candidate{upstream: s, slots: 4, requests: s.requests}, "node-1", []string{"node-1"}, agreed)
	}
	is.True(pool.setBrittle(s, brittleness{brittle: true, rejections: 1, at: agreed}))
	is.True(!pool.setBrittle(s, brittleness{at: agreed.Add(-time.Second)})) // the answer to an earlier request
	for range 4 {
		is.True(has())
		pool.beginRequest(s, 0)
		pool.confirmRequest(s)
	}
	is.True(!has()) // its places are in use
	pool.endRequest(s)
	is.True(has())
	pool.beginRequest(s, 0)
	pool.recordRejection(s)
	pool.confirmRequest(s)
	pool.endRequest(s)
	is.True(!has()) // what it may have rejected in a second is used up
	pass(rejectionWindow + time.Millisecond)
	is.True(has())
	pool.beginRequest(s, 0)
	pool.setBrittle(s, brittleness{at: agreed.Add(time.Second)})
	for range 10 {
		pool.beginRequest(s, 0)
	}
	is.True(has()) // it is not brittle any more
}

// Guards against a brittle server that is met by all nodes at once when it is back after a fall,
// as its new run has said nothing yet.
func TestNewRunOfBrittleServiceIsTakenForBrittle(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(2)
	servers := pool.byService["s"]
	agreed := pool.now()
	pool.setBrittle(servers[0], brittleness{brittle: true, rejections: 3, at: agreed})
	rejections, brittle := pool.brittleOf(servers[1], agreed)
	is.True(brittle)
	is.Equal(rejections, 3)
	pool.update(nil) // both have fallen
	pass(time.Second)
	rejections, brittle = pool.brittleOf(servers[1], agreed.Add(time.Second))
	is.True(brittle)
	is.Equal(rejections, 3)
	_, brittle = pool.brittleOf(servers[1], agreed.Add(brittleMemory))
	is.True(!brittle)
	pool.setBrittle(servers[1], brittleness{at: agreed.Add(time.Second)})
	_, brittle = pool.brittleOf(servers[1], agreed.Add(time.Second))
	is.True(!brittle) // it has said that it is not
}
