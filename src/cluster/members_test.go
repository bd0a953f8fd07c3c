package cluster

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/view"
)

func TestNewestRecordWinsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMembers("self", time.Now)
		best := map[string][2]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node")
			at := [2]int64{int64(rapid.IntRange(1, 3).Draw(t, "incarnation")), int64(rapid.IntRange(1, 20).Draw(t, "sequence"))}
			m.Merge(&Record{Node: name, Incarnation: at[0], Sequence: at[1]})
			old := best[name]
			if at[0] > old[0] || at[0] == old[0] && at[1] > old[1] {
				best[name] = at
			}
		}
		for _, member := range m.All() {
			r := member.Record
			if best[r.Node] != [2]int64{r.Incarnation, r.Sequence} {
				t.Fatalf("%s: got incarnation/sequence %d/%d, want %v", r.Node, r.Incarnation, r.Sequence, best[r.Node])
			}
		}
	})
}

func TestAliveExcludesSilentAndLeavingNodes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMembers("self", func() time.Time { return now })
	m.Merge(&Record{Node: "a", Sequence: 1, Ready: true})
	m.Merge(&Record{Node: "b", Sequence: 1, Ready: true, Leaving: true})
	m.Merge(&Record{Node: "c", Sequence: 1})
	is.Equal(len(m.Alive()), 1)
	is.True(m.AllHeard())
	now = now.Add(AliveTimeout + time.Millisecond)
	is.Equal(len(m.Alive()), 0)
	is.Equal(m.Count(), 4) // silent nodes are counted until countedTimeout
	is.True(!m.AllHeard())
	now = now.Add(countedTimeout)
	is.Equal(m.Count(), 1)
}

func TestAgreedTimeFollowsMajority(t *testing.T) {
	is := is.New(t)
	m := NewMembers("self", time.Now)
	now := time.Now()
	truth := now.Add(3 * time.Second) // the local clock is 3 s behind
	for i := range 4 {
		m.RecordClock(fmt.Sprint("right-", i), truth.Round(0), now)
	}
	m.RecordClock("wrong", truth.Add(-time.Hour), now)
	off := m.AgreedTime(now).Sub(truth.Round(0))
	is.True(off.Abs() < 50*time.Millisecond)
}

func startNode(t *testing.T, name string, seeds ...string) (*Node, string) {
	n := &Node{Members: NewMembers(name, time.Now), View: view.New(), Seeds: func() []string { return seeds }}
	n.Start()
	server := httptest.NewServer(n.Handler())
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	sequence := int64(0)
	n.Own = func() *Record {
		sequence++
		return &Record{Node: name, Incarnation: 1, Sequence: sequence, Peers: address, Ready: true}
	}
	return n, address
}

func TestExchangeRelaysRecordsAndChanges(t *testing.T) {
	is := is.New(t)
	middle, middleAddress := startNode(t, "middle")
	left, _ := startNode(t, "left", middleAddress)
	right, _ := startNode(t, "right", middleAddress)
	right.View.ApplyList([]ports.Item{{Key: "a", Value: []byte("1"), Revision: 7}}, 9)
	ctx := context.Background()
	right.ExchangeWith(ctx, middleAddress)
	middle.ExchangeWith(ctx, right.Own().Peers) // fetches the changes that right has and middle lacks
	left.ExchangeWith(ctx, middleAddress)
	it, ok := left.View.Get("a")
	is.True(ok)
	is.Equal(string(it.Value), "1")
	names := map[string]bool{}
	for _, r := range left.Members.Others(time.Minute) {
		names[r.Node] = true
	}
	is.True(names["middle"] && names["right"])
}

// Two nodes that relay each other the record of a dead node must not keep it alive.
func TestRelayDoesNotReviveDeadNode(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	node := func(name string) *Node {
		n := &Node{
			Members: NewMembers(name, func() time.Time { return now }), View: view.New(),
			Own: func() *Record { return &Record{Node: name, Incarnation: 1, Sequence: now.Unix(), Ready: true} },
		}
		n.Start()
		return n
	}
	a, b := node("a"), node("b")
	gone := &Record{Node: "gone", Incarnation: 1, Sequence: 9, Ready: true, Callers: "10.0.0.9:80"}
	a.Members.Merge(gone)
	now = now.Add(time.Second)
	b.Members.Merge(gone) // heard later, so also forgotten later
	for range 300 {
		now = now.Add(500 * time.Millisecond)
		a.Members.Others(AliveTimeout)
		b.Members.Others(AliveTimeout)
		for _, pair := range [][2]*Node{{a, b}, {b, a}} {
			reply, err := pair[1].Exchange(context.Background(), pair[0].newRequest(Scope_LACKING))
			is.NoErr(err)
			pair[0].mergeMessage(reply, now)
		}
		for _, r := range append(a.Members.Alive(), b.Members.Alive()...) {
			if r.Node == "gone" && now.After(time.Unix(1000, 0).Add(2*AliveTimeout)) {
				t.Fatalf("still offered to clients %s after it was last heard from", now.Sub(time.Unix(1000, 0)))
			}
		}
	}
}

// A new node must not take records of silent nodes for fresh ones.
func TestMergedRecordsKeepTheirAge(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMembers("self", func() time.Time { return now })
	m.MergeAged(&Record{Node: "silent", Incarnation: 1, Sequence: 5, Ready: true}, 3*AliveTimeout)
	m.MergeAged(&Record{Node: "heard", Incarnation: 1, Sequence: 5, Ready: true}, AliveTimeout/2)
	is.Equal(len(m.Alive()), 1)
	is.Equal(len(m.Others(countedTimeout)), 2) // silent nodes are counted until countedTimeout
	is.True(!m.MergeAged(&Record{Node: "long gone", Incarnation: 1}, forgetTimeout))
}

// Issue 19: after a clock step, a restarted node sent records that all others
// considered outdated.
func TestRestartedNodeRecoversFromClockStepBack(t *testing.T) {
	is := is.New(t)
	node := func(name string, incarnation int64) *Node {
		n := &Node{Members: NewMembers(name, time.Now), View: view.New()}
		sequence := int64(0)
		n.Own = func() *Record {
			sequence++
			return &Record{Node: name, Incarnation: incarnation, Sequence: sequence}
		}
		n.RaiseIncarnation = func(above int64) { incarnation = max(incarnation, above+1) }
		n.Entries = func() []Entry { return nil }
		n.Start()
		return n
	}
	for _, scope := range []Scope{Scope_LACKING, Scope_DIRECT, Scope_SUMMARY} {
		hub, again := node("hub", 7), node("again", 500)
		hub.Members.Merge(&Record{Node: "again", Incarnation: 900, Sequence: 4000})
		for range 2 {
			reply, err := hub.Exchange(context.Background(), again.newRequest(scope))
			is.NoErr(err)
			again.mergeMessage(reply, time.Now())
		}
		is.Equal(hub.Members.Others(time.Minute)[0].Incarnation, int64(901))
		is.True(hub.Members.Others(time.Minute)[0].Sequence < 4000)
	}
}

func TestOwnRecordCountsOnceAfterIncarnationRaise(t *testing.T) {
	is := is.New(t)
	m := NewMembers("self", time.Now)
	for incarnation := range int64(3) {
		m.Merge(&Record{Node: "self", Incarnation: incarnation + 1, Sequence: incarnation + 1, Admitted: []*Tally{{Name: "c", Total: 10}}})
	}
	is.Equal(m.Summarize("other", time.Now()).Admitted[0].Total, 10.0)
}

// Guards against admissions that count twice after nodes have lost each other for longer than
// their records are kept.
func TestForgottenNodeThatReturnsIsCountedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMembers("self", func() time.Time { return now })
	sum := func() float64 {
		m.aggregates = aggregates{}
		for _, t := range m.Summarize("asker", now).Admitted {
			return t.Total
		}
		return 0
	}
	record := &Record{Node: "a", Incarnation: 1, Sequence: 1, Admitted: []*Tally{{Name: "c", Total: 100}}}
	m.Merge(record)
	is.Equal(sum(), 100.0)
	now = now.Add(forgetTimeout + time.Second)
	is.Equal(len(m.Others(forgetTimeout)), 0)
	is.Equal(sum(), 100.0)
	m.Merge(&Record{Node: "a", Incarnation: 1, Sequence: 9, Admitted: []*Tally{{Name: "c", Total: 130}}})
	is.Equal(sum(), 130.0)
	now = now.Add(forgetTimeout + time.Second)
	is.Equal(len(m.Others(forgetTimeout)), 0)
	m.Merge(&Record{Node: "a", Incarnation: 2, Sequence: 1, Admitted: []*Tally{{Name: "c", Total: 5}}})
	is.Equal(sum(), 135.0) // a new process begins at zero
}
