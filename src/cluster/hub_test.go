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

// testCluster is a set of nodes that exchange over the loopback interface.
type testCluster struct {
	nodes   []*Node
	entries []Entry
	records []*Record
}

const testDomains = 2

func newTestCluster(t *testing.T, size int) *testCluster {
	c := &testCluster{}
	for i := range size {
		record := &Record{
			Node: fmt.Sprintf("n%d", i), FailureDomain: fmt.Sprintf("d%d", i%testDomains), Incarnation: 1, Ready: true, Callers: fmt.Sprintf("caller-%d", i),
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
			Seeds: func() []string { return nil }, Entries: func() []Entry { return c.entries },
		}
		node.Start()
		server := httptest.NewServer(node.Handler())
		t.Cleanup(server.Close)
		record.Peers = strings.TrimPrefix(server.URL, "http://")
		c.entries = append(c.entries, Entry{record.Node, record.FailureDomain, record.Peers})
		c.nodes, c.records = append(c.nodes, node), append(c.records, record)
	}
	return c
}

// round lets every node contact its targets once and returns the number of calls.
func (c *testCluster) round() (calls int) {
	for _, node := range c.nodes {
		for _, to := range node.hubTargets() {
			node.exchangeWith(context.Background(), to)
			calls++
		}
	}
	return calls
}

// expireAggregates makes hubs recompute their aggregates for the next summary.
func (c *testCluster) expireAggregates() {
	for _, node := range c.nodes {
		node.Members.mu.Lock()
		node.Members.aggregates = aggregates{}
		node.Members.mu.Unlock()
	}
}

func TestHubsSummarizeAllNodesOfALargeSystem(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, 24)
	calls := 0
	for range 3 {
		c.expireAggregates()
		calls = c.round()
	}
	is.True(calls <= len(c.nodes)+2*testDomains) // one call per node, and those between hubs
	for _, node := range c.nodes {
		if node.IsHub() {
			is.Equal(len(node.Members.All()), len(c.nodes))
			continue
		}
		is.True(len(node.Members.All()) <= 3)
		s, _, _, ok := node.Members.Summary()
		is.True(ok)
		is.Equal(int(s.Nodes), len(c.nodes))
		is.Equal(node.Members.Count(), len(c.nodes))
		is.Equal(s.Admitted[0].Total, 10.0*float64(len(c.nodes)-1)) // all nodes but itself
		is.Equal(int(s.Heavy[0].Requests), len(c.nodes)-1)
		is.True(len(node.Members.ClientAddresses(64)) >= len(c.nodes)/4)
	}
}

// What a node admitted before a restart must stay in the sums.
func TestAdmittedSumsSurviveNodeRestart(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, 20)
	for range 3 {
		c.expireAggregates()
		c.round()
	}
	c.records[7].Incarnation, c.records[7].Sequence, c.records[7].Admitted = 2, 0, []*Tally{{Name: "c", Total: 1}}
	for range 3 {
		c.expireAggregates()
		c.round()
	}
	for i, node := range c.nodes {
		s, _, _, ok := node.Members.Summary()
		if ok && i != 7 {
			is.Equal(s.Admitted[0].Total, 10.0*19+1)
		}
	}
}

func TestHubFailover(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, 20)
	none := func(string) bool { return false }
	first, _ := selectHub(c.entries, "d0", none)
	second, _ := selectHub(c.entries, "d0", func(node string) bool { return node == first.Node })
	is.True(first.Node != second.Node)
	is.Equal(second.FailureDomain, "d0")
	last, ok := selectHub(c.entries, "d0", func(string) bool { return true })
	is.True(ok)
	is.Equal(last.Node, first.Node)
	_, ok = selectHub(c.entries, "elsewhere", none)
	is.True(!ok)

	for i := range c.entries {
		if c.entries[i].Node == first.Node {
			c.entries[i].Peers = "127.0.0.1:1" // refuses connections
		}
	}
	for range 4 {
		c.expireAggregates()
		c.round()
	}
	for i, node := range c.nodes {
		if c.records[i].Node == first.Node || node.IsHub() {
			continue
		}
		s, hub, _, ok := node.Members.Summary()
		is.True(ok)
		is.True(!strings.HasPrefix(hub, first.Node+"/"))
		is.True(int(s.Nodes) >= len(c.nodes)-1)
	}
}

func TestHubsRelayStoreChanges(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, 20)
	hub, _ := selectHub(c.entries, "d0", func(string) bool { return false })
	for i, node := range c.nodes {
		if c.records[i].Node == hub.Node {
			node.View.ApplyList([]ports.Item{{Key: "k", Value: []byte("v"), Revision: 5}}, 5)
		}
	}
	for range 3 {
		c.round()
	}
	for _, node := range c.nodes {
		it, ok := node.View.Get("k")
		is.True(ok)
		is.Equal(string(it.Value), "v")
	}
}

func TestSmallSystemUsesNoHubs(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, maxFlatNodes)
	is.True(!c.nodes[0].UsesHubs())
	c.entries = append(c.entries, Entry{"one-more", "d0", ""})
	is.True(c.nodes[0].UsesHubs())
}

// Guards against one suspect, which many nodes report, filling a summary, and against
// losing the crashes that only one of them saw.
func TestSummaryCombinesReportsOfSuspects(t *testing.T) {
	is := is.New(t)
	m := NewMembers("hub", time.Now)
	for i := range 20 {
		m.Merge(&Record{Node: fmt.Sprint("n-", i), Sequence: 1, Suspects: []*Suspect{
			{Digest: []byte("all"), Crashes: []*Crash{{Server: "s", AtMs: 5}, {Server: fmt.Sprint("s-", i%3), AtMs: 9}}},
			{Digest: []byte{byte(i % 5)}, ClearedThroughMs: int64(i), Crashes: []*Crash{{Server: "t", AtMs: 7}}},
		}})
	}
	got := m.Summarize("n-0", time.Now()).Suspects
	is.Equal(len(got), 6)
	is.Equal(string(got[0].Digest), "all")
	is.Equal(len(got[0].Crashes), 4)
	is.Equal(got[1].ClearedThroughMs, int64(15))
}

// Guards against completions that a hub does not pass on, as others have more crashes: nodes that
// know only the crashes then refuse what is sound.
func TestSummaryNamesWhatHasCompletedBesideManyCrashes(t *testing.T) {
	is := is.New(t)
	m := NewMembers("hub", time.Now)
	for i := range 2 * maxSuspects {
		crashes := []*Crash{{Server: "s", AtMs: 5}, {Server: "t", AtMs: 9}, {Server: "u", AtMs: 12}}
		m.Merge(&Record{Node: fmt.Sprint("n-", i), Sequence: 1, Suspects: []*Suspect{{Digest: []byte{byte(i)}, Crashes: crashes}}})
	}
	m.Merge(&Record{Node: "sees-crashes", Sequence: 1, Suspects: []*Suspect{{Digest: []byte("sound"), Crashes: []*Crash{{Server: "s", AtMs: 5}, {Server: "t", AtMs: 9}}}}})
	m.Merge(&Record{Node: "sees-completion", Sequence: 1, Suspects: []*Suspect{{Digest: []byte("sound"), ClearedThroughMs: 10}}})
	got := m.Summarize("n-0", time.Now()).Suspects
	is.Equal(len(got), maxSuspects+1)
	last := got[maxSuspects]
	is.Equal(string(last.Digest), "sound")
	is.Equal(last.ClearedThroughMs, int64(10))
	is.Equal(len(last.Crashes), 0)
}

// Guards against nodes that rely on a hub which has lost the store and the other hubs, while they
// know better, and against nodes that change hubs where none knows better.
func TestHubWithOutdatedNewsIsAvoidedByNodesThatKnowBetter(t *testing.T) {
	const outdated = 2 * HubConfirmationMaxAge
	for name, c := range map[string]struct {
		ownAge time.Duration
		avoids bool
	}{"node reaches the store": {0, true}, "store is silent for all": {outdated, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster := newTestCluster(t, 24)
			hub, _ := selectHub(cluster.entries, "d0", func(string) bool { return false })
			now := time.Now()
			var node *Node
			for i, n := range cluster.nodes {
				n.View.ApplyPeer(view.Delta{CompleteRevision: 5})
				if cluster.records[i].Node == hub.Node {
					n.View.Confirm(5, now.Add(-outdated))
				} else {
					n.View.Confirm(5, now.Add(-c.ownAge))
				}
				if cluster.records[i].FailureDomain == "d0" && cluster.records[i].Node != hub.Node {
					node = n
				}
			}
			exchange := func() string {
				node.exchangeWith(context.Background(), node.hubTargets()[0])
				_, name, _, ok := node.Members.Summary()
				is.True(ok)
				return name
			}
			is.True(strings.HasPrefix(exchange(), hub.Node+"/")) // there is no better one yet
			is.True(time.Since(node.Members.HubConfirmedAt()) >= outdated)
			second := exchange()
			is.Equal(strings.HasPrefix(second, hub.Node+"/"), !c.avoids)
			if !c.avoids {
				return
			}
			is.True(time.Since(node.Members.HubConfirmedAt()) < HubConfirmationMaxAge)
			node.avoidedUntil = map[string]time.Time{} // the hub is tried again
			is.Equal(exchange(), second)               // and does not replace the summary of the better one
		})
	}
}

// Guards against news that count as young as the message that brought them: a request may have
// waited for a node that was suspended.
func TestRequestConfirmsNothing(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t, 2)
	for _, n := range c.nodes {
		n.View.ApplyPeer(view.Delta{CompleteRevision: 5})
	}
	c.nodes[0].View.Confirm(5, time.Now())
	c.nodes[0].ExchangeWith(context.Background(), c.records[1].Peers)
	_, ok := c.nodes[1].View.ConfirmedAge()
	is.True(!ok)
	sent := time.Now()
	c.nodes[1].ExchangeWith(context.Background(), c.records[0].Peers)
	age, ok := c.nodes[1].View.ConfirmedAge()
	is.True(ok)
	is.True(age >= time.Since(sent)) // counted from when the request was sent
}

// Guards against a sum that counts as whole though the hub has lost some of the nodes.
func TestSummarySaysHowManyNodesAreHeard(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := NewMembers("hub", func() time.Time { return now })
	heard := func() int {
		m.aggregates = aggregates{}
		return int(m.Summarize("a", now).Heard)
	}
	m.Merge(&Record{Node: "a", Sequence: 1})
	m.MergeAged(&Record{Node: "b", Sequence: 1}, HeardTimeout/2) // through another hub
	is.Equal(heard(), 2)
	now = now.Add(HeardTimeout * 3 / 4)
	is.Equal(heard(), 1)
	m.MergeAged(&Record{Node: "b", Sequence: 1}, 0) // the same again
	is.Equal(heard(), 1)
}
