package cluster

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/view"
)

// fleet is a system of nodes that exchange over loopback.
type fleet struct {
	nodes   []*Node
	entries []Entry
	records []*Record
}

const fleetDomains = 2

func newFleet(t *testing.T, size int) *fleet {
	f := &fleet{}
	for i := range size {
		record := &Record{
			Node: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("d%d", i%fleetDomains), Incarnation: 1, Ready: true, Callers: fmt.Sprintf("caller-%d", i),
			Admitted: []*Tally{{Name: "c", Total: 10}}, Loads: []*Load{{Server: "s", Requests: 1, UnreadTokens: 100}},
		}
		node := &Node{
			Members: NewMembers(record.Node, time.Now), View: view.New(),
			Own: func() *Record {
				record.Sequence++
				return &Record{
					Node: record.Node, FailureDomain: record.FailureDomain, Incarnation: record.Incarnation, Sequence: record.Sequence, Peers: record.Peers,
					Ready: true, Callers: record.Callers, Admitted: record.Admitted, Loads: record.Loads,
				}
			},
			Seeds: func() []string { return nil }, Entries: func() []Entry { return f.entries },
		}
		node.Start()
		server := httptest.NewServer(node.Handler())
		t.Cleanup(server.Close)
		record.Peers = strings.TrimPrefix(server.URL, "http://")
		f.entries = append(f.entries, Entry{record.Node, record.FailureDomain, record.Peers})
		f.nodes, f.records = append(f.nodes, node), append(f.records, record)
	}
	return f
}

// round lets every node ask its targets once.
func (f *fleet) round() (calls int) {
	for _, node := range f.nodes {
		for _, one := range node.hubTargets() {
			node.ask(context.Background(), one)
			calls++
		}
	}
	return calls
}

// settle lets sums that hubs keep for a while grow old.
func (f *fleet) settle() {
	for _, node := range f.nodes {
		node.Members.mu.Lock()
		node.Members.sums = sums{}
		node.Members.mu.Unlock()
	}
}

func TestNodesOfALargeSystemLearnSumsOverAll(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 24)
	calls := 0
	for range 3 {
		f.settle()
		calls = f.round()
	}
	is.True(calls <= len(f.nodes)+2*fleetDomains) // one call a node, and those between the hubs
	for _, node := range f.nodes {
		if node.IsHub() {
			is.Equal(len(node.Members.All()), len(f.nodes))
			continue
		}
		is.True(len(node.Members.All()) <= 3)
		s, _, _, ok := node.Members.Summary()
		is.True(ok)
		is.Equal(int(s.Nodes), len(f.nodes))
		is.Equal(node.Members.Count(), len(f.nodes))
		is.Equal(s.Admitted[0].Total, 10.0*float64(len(f.nodes)-1)) // all but the own
		is.Equal(int(s.Heavy[0].Requests), len(f.nodes)-1)
		is.True(len(node.Members.Callers(64)) >= len(f.nodes)/4)
	}
}

func TestSumsNeverFallWhenANodeBeginsAnew(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 20)
	for range 3 {
		f.settle()
		f.round()
	}
	f.records[7].Incarnation, f.records[7].Sequence, f.records[7].Admitted = 2, 0, []*Tally{{Name: "c", Total: 1}}
	for range 3 {
		f.settle()
		f.round()
	}
	for i, node := range f.nodes {
		s, _, _, ok := node.Members.Summary()
		if ok && i != 7 {
			is.Equal(s.Admitted[0].Total, 10.0*19+1)
		}
	}
}

func TestAnotherNodeIsTheHubWhenOneIsSilent(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 20)
	none := func(string) bool { return false }
	first, _ := hubOf(f.entries, "d0", none)
	second, _ := hubOf(f.entries, "d0", func(node string) bool { return node == first.Node })
	is.True(first.Node != second.Node)
	is.Equal(second.FailureDomain, "d0")
	last, ok := hubOf(f.entries, "d0", func(string) bool { return true })
	is.True(ok)
	is.Equal(last.Node, first.Node)
	_, ok = hubOf(f.entries, "elsewhere", none)
	is.True(!ok)

	for i := range f.entries {
		if f.entries[i].Node == first.Node {
			f.entries[i].Peers = "127.0.0.1:1" // nobody listens there
		}
	}
	for range 4 {
		f.settle()
		f.round()
	}
	for i, node := range f.nodes {
		if f.records[i].Node == first.Node || node.IsHub() {
			continue
		}
		s, hub, _, ok := node.Members.Summary()
		is.True(ok)
		is.True(!strings.HasPrefix(hub, first.Node+"/"))
		is.True(int(s.Nodes) >= len(f.nodes)-1)
	}
}

func TestChangesReachNodesByWayOfHubs(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 20)
	hub, _ := hubOf(f.entries, "d0", func(string) bool { return false })
	for i, node := range f.nodes {
		if f.records[i].Node == hub.Node {
			node.View.ApplyList([]ports.Item{{Key: "k", Value: []byte("v"), Revision: 5}}, 5)
		}
	}
	for range 3 {
		f.round()
	}
	for _, node := range f.nodes {
		it, ok := node.View.Get("k")
		is.True(ok)
		is.Equal(string(it.Value), "v")
	}
}

func TestASmallSystemNeedsNoHubs(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, flatMost)
	is.True(!f.nodes[0].UsesHubs())
	f.entries = append(f.entries, Entry{"one-more", "d0", ""})
	is.True(f.nodes[0].UsesHubs())
}
