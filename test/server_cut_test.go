package test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strings"
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
	cutHubNodes   = 18                     // more than exchange records without hubs
	cutServers    = 4
	maxSends      = 4               // servers that the gateway sends one request to at most
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

func newFirstTries() *firstTries {
	return &firstTries{others: map[string]int{}, stop: make(chan struct{})}
}

// share returns the part of the first tries that was served.
func (f *firstTries) share() float64 { return float64(f.served) / float64(max(f.sent, 1)) }

// sendFirstTries starts clients that send the given requests, or without any those of
// cutRoutes, in turn to a node, until end is called.
func sendFirstTries(n *gatewayNode, name string, clients int, requests ...gatewayRequest) *firstTries {
	if len(requests) == 0 {
		requests = cutRoutes
	}
	f := newFirstTries()
	for client := range clients {
		f.group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-f.stop:
					return
				case <-time.After(cutInterval):
				}
				req := requests[i%len(requests)]
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

// refused returns how many first tries were refused as not run.
func (f *firstTries) refused() (count int) {
	for response, times := range f.others {
		if strings.HasPrefix(response, "503 ") || strings.HasPrefix(response, "429 ") {
			count += times
		}
	}
	return count
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
				hadConnections := mode == cutNewOnly || mode == cutOldOnly
				is.True(nodes[0].links.dials() > dials || hadConnections)
				after.end()
				t.Logf("after the cut: %s", after)
				is.Equal(after.served, after.sent)
			})
		}
	}
}

// Guards against callers of a whole failure domain that reaches no server being refused in a system
// whose nodes exchange records through hubs: they know few nodes of other failure domains.
func TestFailureDomainThatReachesNoServerIsServed(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newGatewayTestbed(t)
	b.linked, b.domains = true, 2
	for i := range cutServers {
		b.startServer(fmt.Sprint("i-", i))
	}
	nodes := b.startNodes(cutHubNodes)
	var tries []*firstTries
	for i, n := range nodes {
		tries = append(tries, sendFirstTries(n, fmt.Sprint("d-", i), 1))
	}
	time.Sleep(contactTimeout) // hubs are chosen
	for i := 0; i < len(nodes); i += b.domains {
		nodes[i].links.cut(cutReset)
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
	}
}

// Guards against requests that are refused, or held for long, where no node reaches a server.
func TestCallersAreRefusedAtOnceWhereNoNodeReachesServers(t *testing.T) {
	// It measures short times, so it does not run in parallel with other tests.
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

// cutOffNode returns a testbed of one server and two nodes, of which the first reaches no
// server and has forwarded a request to the second.
func cutOffNode(t *testing.T) (b *gatewayTestbed, cut, other *gatewayNode, server *fake.Server) {
	b, nodes, servers := newCutBed(t, 2, 1)
	nodes[0].links.cut(cutReset)
	b.waitServing(nodes[0], "forwarded")
	return b, nodes[0], nodes[1], servers[0]
}

// Guards against forwarded requests that reach a server changed, or with what only nodes tell
// each other.
func TestForwardedRequestIsUnchanged(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	_, cut, _, server := cutOffNode(t)
	for i, path := range []string{"/once/a%2Fb/../c//d?q=1&r=%20", "/repeat/x?"} {
		id := fmt.Sprint("unchanged-", i)
		got := cut.send(gatewayRequest{method: http.MethodPost, path: path, id: id, body: "body"})
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.header.Get("Server-Stamp"), server.ID)
		runs := server.Runs()
		last := runs[len(runs)-1]
		is.Equal(last.ID, id)
		is.Equal(last.Path, path)
		is.Equal(last.Body, "body")
		is.Equal(last.Customer, testCustomer)
		is.Equal(last.Authorization, "")
		for name := range last.Header {
			is.True(!strings.HasPrefix(name, "Crankridge-"))
		}
	}
}

// Guards against callers that reach a server, or escape a check, through the way by which nodes
// forward requests to each other.
func TestCallersCannotForgeForwardedRequests(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newGatewayTestbed(t)
	server := b.startServer("i-1")
	n := b.startNodes(2)[0]
	count := len(server.Runs())
	forged := map[string]string{"Crankridge-Config-Version": "0", "Crankridge-Runs": "0", "Crankridge-Counted": "false"}
	is.Equal(n.send(gatewayRequest{method: http.MethodGet, path: "/forward/repeat/x", id: "f-1", header: forged}).status, http.StatusNotFound)
	peers := &gatewayNode{settings: n.settings}
	peers.settings.Listen.Callers = n.settings.Listen.Peers
	wrongKey := map[string]string{"Authorization": "Bearer forged", "Tenant": testCustomer}
	maps.Copy(wrongKey, forged)
	is.Equal(peers.send(gatewayRequest{method: http.MethodGet, path: "/forward/repeat/x", id: "f-2", header: wrongKey}).status, http.StatusUnauthorized)
	is.Equal(peers.send(gatewayRequest{method: http.MethodGet, path: "/forward/repeat/x", id: "f-3"}).status, http.StatusForbidden)
	is.Equal(len(server.Runs()), count)
}

// Guards against a request whose caller has left and that a server works on, two nodes away.
func TestForwardedRequestEndsWithItsCaller(t *testing.T) {
	t.Parallel() // mostly waits
	b, cut, _, server := cutOffNode(t)
	server.SetBehavior(fake.Unresponsive)
	ctx, leave := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cut.settings.Listen.Callers+"/repeat/x", nil)
	b.is.NoErr(err)
	req.Host = testHost
	req.Header.Set("Request-Id", "leaves")
	req.Header.Set("Authorization", "Bearer "+testAPIKey)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	b.eventually("the server runs the request", func() bool {
		runs := server.Runs()
		return runs[len(runs)-1].ID == "leaves"
	})
	leave()
	left := time.Now()
	b.eventually("the server learns that the caller has left", func() bool { return server.ClientDisconnects() > 0 })
	b.is.True(time.Since(left) < 500*time.Millisecond)
}

// Guards against requests that are lost, or run twice, when the node in between stops, or is
// itself cut off from the servers.
func TestNodeInBetweenMayStopOrBeCutOff(t *testing.T) {
	t.Parallel() // mostly waits
	for name, end := range map[string]func(*gatewayNode){
		"stop": func(n *gatewayNode) { n.stop() },
		"cut":  func(n *gatewayNode) { n.links.cut(cutNewOnly) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, nodes, servers := newCutBed(t, 3, cutServers)
			for _, s := range servers {
				s.SetSlots(100, 100*time.Millisecond)
			}
			nodes[0].links.cut(cutReset)
			time.Sleep(time.Second)
			tries := sendFirstTries(nodes[0], "between", 4*cutClients)
			time.Sleep(time.Second)
			end(nodes[1])
			time.Sleep(2 * time.Second)
			tries.end()
			t.Log(tries)
			is.True(mostRuns(servers) <= 1)
			is.Equal(tries.served, tries.sent)
		})
	}
}

// Guards against requests that are lost, or run twice, when the node in between is killed. Those
// in progress there that must not be repeated are lost.
func TestNodeInBetweenMayBeKilled(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b, nodes, servers := newCutBed(t, 2, cutServers)
	between, address := b.startProcess("between", nodeAddresses(nodes)...)
	for _, s := range servers {
		s.SetSlots(100, 300*time.Millisecond) // most requests are in progress
	}
	nodes[0].links.cut(cutReset)
	time.Sleep(time.Second)
	repeatable := sendFirstTries(nodes[0], "killed-repeatable", 4*cutClients, cutRoutes[1], cutRoutes[3])
	once := sendFirstTries(nodes[0], "killed-once", 4*cutClients, cutRoutes[0], cutRoutes[2])
	time.Sleep(time.Second)
	b.eventually("the node in between has requests in progress", func() bool { return b.openRequests(address) >= cutClients })
	between.kill()
	time.Sleep(2 * time.Second)
	repeatable.end()
	once.end()
	t.Logf("repeatable: %s; others: %s", repeatable, once)
	is.True(mostRuns(servers) <= 1)
	is.Equal(repeatable.served, repeatable.sent)
	is.True(once.sent-once.served <= 4*cutClients)
	is.Equal(once.refused(), 0)
}

// Guards against requests that may be repeated and are lost when the node in between is cut off
// while it waits for their responses: it cannot send them again, but a third node can.
func TestRepeatableRequestOutlivesCutOfNodeInBetween(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newGatewayTestbed(t)
	b.linked = true
	b.retries = "Bounds.RetryBudgetRatio=1\nBounds.ExtraRetries=500\n"
	for _, route := range b.config["Routes"].([]any) {
		// The node in between may also lose an attempt on a second connection that the cut resets.
		route.(map[string]any)["MaxAttempts"] = maxSends
	}
	b.writeConfig()
	for i := range cutServers {
		b.startServer(fmt.Sprint("i-", i)).SetSlots(100, 300*time.Millisecond) // most requests are in progress
	}
	nodes := b.startNodes(3)
	nodes[0].links.cut(cutReset)
	time.Sleep(time.Second)
	tries := sendFirstTries(nodes[0], "outlives", 8*cutClients, cutRoutes[1], cutRoutes[3])
	time.Sleep(time.Second)
	nodes[1].links.cut(cutReset)
	time.Sleep(2 * time.Second)
	tries.end()
	t.Log(tries)
	is.Equal(tries.served, tries.sent)
}

// Guards against a node that reaches a single server of a service and sends it all requests, or
// that treats a service which it does reach like one which it does not.
func TestNodeThatReachesSomeServersDoesNotCrowdThem(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b, nodes, servers := newCutBed(t, cutGroupSize, cutServers)
	b.config["Routes"] = append(b.config["Routes"].([]any), b.routeConfig("other", "/other/", "safe", "other", 2, false))
	b.config["Services"] = append(b.config["Services"].([]any), map[string]any{"Name": "other", "HealthCheckPath": "/health", "MaxConnections": 100})
	b.writeConfig()
	other := fake.NewServer("o-1")
	t.Cleanup(other.Close)
	b.store.Put("servers/o-1", other.Entry("other", "zone-1", "ready"))
	request := gatewayRequest{method: http.MethodGet, path: "/other/x"}
	b.eventually("the other service is served", func() bool {
		request.id = "other-probe"
		return nodes[0].send(request).status == http.StatusOK
	})
	reached := servers[0].ID
	nodes[0].links.cutSome(cutReset, func(id string) bool { return id != reached && id != other.ID })
	time.Sleep(contactTimeout)
	before, dials := len(servers[0].Runs()), nodes[1].links.dialsTo(other.ID)
	tries := sendFirstTries(nodes[0], "some", 4*cutClients)
	others := sendFirstTries(nodes[0], "other", cutClients, request)
	time.Sleep(cutMeasured)
	tries.end()
	others.end()
	crowded := len(servers[0].Runs()) - before
	t.Logf("%s, %d of them at the only server that the node reaches; the other service: %s", tries, crowded, others)
	is.Equal(tries.served, tries.sent)
	is.Equal(others.served, others.sent)
	is.True(crowded < tries.sent/2) // an even share is a quarter
	is.Equal(nodes[1].links.dialsTo(other.ID), dials)
}

// Guards against forwarded requests that are charged to their customer's limit at both nodes.
func TestForwardedRequestIsChargedOnce(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newGatewayTestbed(t)
	b.linked = true
	b.config["Tenants"] = []any{map[string]any{"Name": testCustomer, "ApiKeys": []string{testAPIKey}, "RatePerS": 1000, "Burst": 1000}}
	b.writeConfig()
	b.startServer("i-1")
	nodes := b.startNodes(2)
	nodes[0].links.cut(cutReset)
	b.waitServing(nodes[0], "forwarded")
	time.Sleep(time.Second) // records of the requests so far
	before := admittedTotal(b, nodes)
	const count = 50
	for i := range count {
		is.Equal(nodes[0].send(gatewayRequest{method: http.MethodGet, path: "/repeat/x", id: fmt.Sprint("charged-", i)}).status, http.StatusOK)
	}
	b.eventually("the nodes have charged all requests", func() bool { return admittedTotal(b, nodes) >= before+count })
	time.Sleep(time.Second) // further records
	is.Equal(admittedTotal(b, nodes), before+count)
}

// openRequests returns how many requests of clients and other nodes are in progress at a node.
func (b *gatewayTestbed) openRequests(address string) int {
	var state struct{ Open int }
	resp, err := http.Get("http://" + address + "/debug/state")
	b.is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	b.is.NoErr(json.NewDecoder(resp.Body).Decode(&state))
	return state.Open
}

// admittedTotal returns what all nodes have charged to the customer, by their own records.
func admittedTotal(b *gatewayTestbed, nodes []*gatewayNode) (total float64) {
	for _, n := range nodes {
		var state struct {
			Node    string
			Members []struct {
				Record struct {
					Node     string
					Admitted []struct{ Total float64 }
				}
			}
		}
		resp, err := http.Get("http://" + n.settings.Listen.Peers + "/debug/state")
		b.is.NoErr(err)
		b.is.NoErr(json.NewDecoder(resp.Body).Decode(&state))
		_ = resp.Body.Close()
		for _, m := range state.Members {
			if m.Record.Node != state.Node {
				continue
			}
			for _, tally := range m.Record.Admitted {
				total += tally.Total
			}
		}
	}
	return total
}

// Guards against a partition between one node and the servers being taken for crashes of the
// servers, for which sound requests were refused as suspects.
func TestPartitionIsNotTakenForCrashes(t *testing.T) {
	t.Parallel() // mostly waits
	for _, cutNodes := range []int{1, 3} {
		t.Run(fmt.Sprint(cutNodes), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			_, nodes, servers := newCutBed(t, 3, cutServers)
			for _, s := range servers {
				s.SetSlots(100, 100*time.Millisecond)
			}
			var tries []*firstTries
			for i, n := range nodes {
				tries = append(tries, sendFirstTries(n, fmt.Sprint("p-", i), 4))
			}
			for range 4 {
				time.Sleep(500 * time.Millisecond)
				for _, n := range nodes[:cutNodes] {
					n.links.cut(cutReset)
				}
				time.Sleep(500 * time.Millisecond)
				for _, n := range nodes[:cutNodes] {
					n.links.heal()
				}
			}
			time.Sleep(time.Second)
			suspected := 0
			for _, f := range tries {
				f.end()
				t.Log(f)
				suspected += f.others["503 crashes_unclear\n<nil>"] + f.others["503 crashes_servers\n<nil>"]
			}
			is.Equal(suspected, 0)
		})
	}
}

// Guards against sends that no retry budget counts: a request that servers have rejected at one
// node was forwarded to the next as if it had not been sent.
func TestForwardedRequestsKeepToRetryBudget(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newGatewayTestbed(t)
	b.linked = true
	b.retries = "Bounds.RetryBudgetRatio=0\nBounds.ExtraRetries=0\n"
	full := b.startServer("i-full")
	b.startServer("i-cut")
	nodes := b.startNodes(3)
	full.SetBehavior(fake.Full)
	nodes[0].links.cut(cutReset)
	for _, n := range nodes[1:] {
		n.links.cutSome(cutReset, func(id string) bool { return id == "i-cut" })
	}
	time.Sleep(time.Second)
	for i := range 40 {
		time.Sleep(100 * time.Millisecond) // a node that has rejected a request is not asked for a while
		nodes[0].send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprint("budget-", i)})
	}
	arrivals, retries := map[string]int{}, 0
	for _, a := range full.Arrivals() {
		if arrivals[a.ID]++; arrivals[a.ID] > 1 {
			retries++
		}
	}
	t.Logf("%d requests arrived, %d of them again", len(arrivals), retries)
	is.Equal(retries, 0)
}
