package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/platform/fake"
)

// Requests of the tests that cut nodes off from servers.
const (
	cutInterval   = 25 * time.Millisecond  // between the requests of a client
	cutMeasured   = 3 * time.Second        // for which answers are counted
	cutAddedTime  = 300 * time.Millisecond // that a request may take longer at a node that is cut off
	cutClients    = 2                      // for each node
	cutGroupSize  = 4                      // nodes
	cutServers    = 4
	returnTimeout = 2 * time.Second // from the end of a cut until the node uses its own connections
)

// cutRoutes are requests of each kind of route.
var cutRoutes = []gatewayRequest{
	{method: http.MethodPost, path: "/once/x%2fy?q=1", body: "b"},
	{method: http.MethodGet, path: "/repeat/x"},
	{method: http.MethodPost, path: "/stream/x", body: "b", header: map[string]string{"Prompt-Prefix": "aa:10,bb:5", "Token-Usage": "15,10"}},
	{method: http.MethodPost, path: "/resume/x", body: "b", header: map[string]string{"Prompt-Prefix": "aa:10,bb:5", "Token-Usage": "15,10"}},
}

// firstTries is what became of the first tries of requests at one node.
type firstTries struct {
	mu      sync.Mutex
	sent    int
	served  int
	slowest time.Duration
	others  map[string]int // responses that were no success, by status and body
	stop    chan struct{}
	group   sync.WaitGroup
}

// sendFirstTries starts clients that send a request of each route in turn to a node, until
// end is called.
func sendFirstTries(n *gatewayNode, name string, clients int) *firstTries {
	f := &firstTries{others: map[string]int{}, stop: make(chan struct{})}
	for client := range clients {
		f.group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-f.stop:
					return
				case <-time.After(cutInterval):
				}
				req := cutRoutes[i%len(cutRoutes)]
				req.id = fmt.Sprintf("%s-%d-%d", name, client, i)
				f.count(n.send(req))
			}
		})
	}
	return f
}

func (f *firstTries) count(got gatewayResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	f.slowest = max(f.slowest, got.duration)
	if got.err == nil && got.status == http.StatusOK {
		f.served++
		return
	}
	f.others[fmt.Sprint(got.status, " ", got.body, got.err)]++
}

// restart forgets what was counted so far.
func (f *firstTries) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent, f.served, f.slowest, f.others = 0, 0, 0, map[string]int{}
}

func (f *firstTries) end() {
	close(f.stop)
	f.group.Wait()
}

func (f *firstTries) String() string {
	return fmt.Sprintf("%d of %d first tries served, the slowest response after %s, %v", f.served, f.sent, f.slowest, f.others)
}

// newCutBed returns a testbed of nodes with links of their own to the servers.
func newCutBed(t *testing.T, nodeCount, serverCount int) (*gatewayTestbed, []*gatewayNode, []*fake.Server) {
	b := newGatewayTestbed(t)
	b.linked = true
	var servers []*fake.Server
	for i := range serverCount {
		servers = append(servers, b.startServer(fmt.Sprint("i-", i)))
	}
	return b, b.startNodes(nodeCount), servers
}

// mostRuns returns the most runs of a request that must not be repeated.
func mostRuns(servers []*fake.Server) (most int) {
	runs := map[string]int{}
	for _, s := range servers {
		for _, r := range s.Runs() {
			if r.Path != cutRoutes[0].path && r.Path != cutRoutes[2].path {
				continue
			}
			runs[r.ID]++
			most = max(most, runs[r.ID])
		}
	}
	return most
}

// Guards against RECOVER of issue 35: callers of a node that reached no server were refused
// as if the servers were full, while other nodes served all.
func TestCallersOfNodesThatReachNoServerAreServed(t *testing.T) {
	t.Parallel() // mostly waits
	for _, mode := range []cutMode{cutSilent, cutReset, cutNewOnly, cutOldOnly} {
		for _, cutNodes := range []int{1, cutGroupSize - 1} {
			t.Run(fmt.Sprint(mode, cutNodes), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				_, nodes, servers := newCutBed(t, cutGroupSize, cutServers)
				var tries []*firstTries
				for i, n := range nodes {
					tries = append(tries, sendFirstTries(n, fmt.Sprint("c-", i), cutClients))
				}
				time.Sleep(time.Second)
				for _, n := range nodes[:cutNodes] {
					n.links.cut(mode)
				}
				time.Sleep(contactTimeout)
				for _, f := range tries {
					f.restart()
				}
				time.Sleep(cutMeasured)
				for i, f := range tries {
					f.end()
					t.Logf("node %d: %s", i, f)
					is.Equal(f.served, f.sent)
					is.True(f.slowest < cutAddedTime)
				}
				is.True(mostRuns(servers) <= 1)
				nodes[0].links.heal()
				dials := nodes[0].links.dials()
				after := sendFirstTries(nodes[0], "after", cutClients)
				time.Sleep(returnTimeout)
				is.True(nodes[0].links.dials() > dials || mode == cutNewOnly)
				after.end()
				t.Logf("after the cut: %s", after)
				is.Equal(after.served, after.sent)
			})
		}
	}
}

// Guards against requests that are refused, or held for long, where no node reaches a server.
func TestCallersAreRefusedAtOnceWhereNoNodeReachesServers(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	_, nodes, _ := newCutBed(t, 3, 2)
	for _, n := range nodes {
		n.links.cut(cutSilent)
	}
	tries := sendFirstTries(nodes[0], "none", cutClients)
	time.Sleep(contactTimeout)
	tries.restart()
	time.Sleep(time.Second)
	tries.end()
	t.Log(tries)
	is.Equal(tries.served, 0)
	is.True(tries.slowest < 100*time.Millisecond)
	is.Equal(tries.others["503 servers_unreachable\n<nil>"], tries.sent)
}
