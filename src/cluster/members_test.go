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

func TestNewestRecordOfEachNodeStaysInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMembers("self", time.Now)
		best := map[string][2]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node")
			at := [2]int64{int64(rapid.IntRange(1, 3).Draw(t, "incarnation")), int64(rapid.IntRange(1, 20).Draw(t, "sequence"))}
			m.Take(&Record{Node: name, Incarnation: at[0], Sequence: at[1]})
			old := best[name]
			if at[0] > old[0] || at[0] == old[0] && at[1] > old[1] {
				best[name] = at
			}
		}
		for _, member := range m.All() {
			r := member.Record
			if best[r.Node] != [2]int64{r.Incarnation, r.Sequence} {
				t.Fatalf("%s is at %d/%d, the newest was %v", r.Node, r.Incarnation, r.Sequence, best[r.Node])
			}
		}
	})
}

func TestSilentAndLeavingNodesAreNotGivenToClients(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMembers("self", func() time.Time { return now })
	m.Take(&Record{Node: "a", Sequence: 1, Ready: true})
	m.Take(&Record{Node: "b", Sequence: 1, Ready: true, Leaving: true})
	m.Take(&Record{Node: "c", Sequence: 1})
	is.Equal(len(m.Alive()), 1)
	is.True(m.AllHeard())
	now = now.Add(aliveFor + time.Millisecond)
	is.Equal(len(m.Alive()), 0)
	is.Equal(m.Count(), 4) // they still have their share of limits
	is.True(!m.AllHeard())
	now = now.Add(countedFor)
	is.Equal(m.Count(), 1)
}

func TestAgreedTimeIsThatOfMostNodes(t *testing.T) {
	is := is.New(t)
	m := NewMembers("self", time.Now)
	now := time.Now()
	truth := now.Add(3 * time.Second) // this node's clock is three seconds behind
	for i := range 4 {
		m.Compare(fmt.Sprint("right-", i), truth.Round(0), now)
	}
	m.Compare("wrong", truth.Add(-time.Hour), now)
	off := m.Agreed(now).Sub(truth.Round(0))
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

func TestExchangeSpreadsRecordsAndChangesThroughOthers(t *testing.T) {
	is := is.New(t)
	middle, middleAddress := startNode(t, "middle")
	left, _ := startNode(t, "left", middleAddress)
	right, _ := startNode(t, "right", middleAddress)
	right.View.ApplyList([]ports.Item{{Key: "a", Value: []byte("1"), Revision: 7}}, 9)
	ctx := context.Background()
	right.Ask(ctx, middleAddress)
	middle.Ask(ctx, right.Own().Peers) // the middle node asks back for what it lacks
	left.Ask(ctx, middleAddress)
	it, ok := left.View.Get("a")
	is.True(ok)
	is.Equal(string(it.Value), "1")
	names := map[string]bool{}
	for _, r := range left.Members.Others(time.Minute) {
		names[r.Node] = true
	}
	is.True(names["middle"] && names["right"])
}
