package test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/platform/fake"
)

// runCount returns how often a server ran a request.
func runCount(s *fake.Server, id string) int {
	count := 0
	for _, run := range s.Runs() {
		if run.ID == id {
			count++
		}
	}
	return count
}

// Path, query and body must reach the server as sent; the client's API key and its
// own Tenant header must not.
func TestGatewayPassesRequestUnchanged(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	s := b.startServer("i-1")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	got := n.send(gatewayRequest{method: http.MethodPost, path: "/once/a%2Fb?x=1&y=%20", id: "r1", body: "bytes", header: map[string]string{"Deadline-Ms": "700", "Tenant": "forged"}})
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, "answer of i-1")
	is.Equal(got.header.Get("Server-Stamp"), "i-1")
	is.Equal(got.header.Get("Request-Id"), "r1")
	run := s.Runs()[len(s.Runs())-1]
	is.Equal(run.Path, "/once/a%2Fb?x=1&y=%20")
	is.Equal(run.Body, "bytes")
	is.Equal(run.Customer, testCustomer) // not the client's own Tenant header
	is.Equal(run.Authorization, "")      // the API key is not forwarded
	deadline := 0
	_, err := fmt.Sscan(run.Deadline, &deadline)
	is.NoErr(err)
	is.True(deadline <= 700 && deadline > 500)
}

// A request with a bad path, API key, ID or size must not be run.
func TestGatewayRefusesBadInput(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	s := b.startServer("i-1")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	before := len(s.Runs())
	status := func(req gatewayRequest) int { return n.send(req).status }
	is.Equal(status(gatewayRequest{method: "GET", path: "/none/", id: "a"}), http.StatusNotFound)
	is.Equal(status(gatewayRequest{method: "GET", path: "/once/", id: "a", header: map[string]string{"Authorization": "Bearer wrong"}}), http.StatusUnauthorized)
	is.Equal(status(gatewayRequest{method: "GET", path: "/once/", id: ""}), http.StatusBadRequest)
	is.Equal(status(gatewayRequest{method: "POST", path: "/once/", id: "a", body: strings.Repeat("x", 10001)}), http.StatusRequestEntityTooLarge)
	is.Equal(status(gatewayRequest{method: "GET", path: "/once/", id: "a", header: map[string]string{"Filler": strings.Repeat("x", 5000)}}), http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(len(s.Runs()), before)
}

// A request whose body ends early must not be run.
func TestGatewayDoesNotRunTruncatedRequest(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	s := b.startServer("i-1")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	conn, err := net.Dial("tcp", n.settings.Listen.Callers)
	is.NoErr(err)
	_, _ = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: cut\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", testHost, testAPIKey)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	raw, err := io.ReadAll(conn)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(raw), "HTTP/1.1 400 "))
	is.Equal(runCount(s, "cut"), 0)
}

// A request that a server rejects without running it must go to another server, even
// on an unsafe route.
func TestGatewayRetriesUnexecutedRequests(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	first, second := b.startServer("i-1"), b.startServer("i-2")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	for _, behavior := range []fake.Behavior{fake.Full, fake.WrongServer} {
		first.SetBehavior(behavior)
		for i := range 6 {
			id := fmt.Sprintf("%s-%d", behavior, i)
			is.Equal(n.send(gatewayRequest{method: "POST", path: "/once/x", id: id, body: "b"}).status, http.StatusOK)
			is.Equal(runCount(second, id), 1)
		}
	}
	second.SetBehavior(fake.Full)
	got := n.send(gatewayRequest{method: "POST", path: "/once/x", id: "full", body: "b"})
	is.Equal(got.status, http.StatusServiceUnavailable) // no server ran it, so the client may retry
	is.True(got.header.Get("Retry-After") != "")
}

// Servers that refuse connections must not fail a request, even without a retry budget.
func TestGatewayPassesOverUnreachableServers(t *testing.T) {
	b := newGatewayTestbed(t)
	b.retries = "Bounds.RetryBudgetRatio=0\nBounds.ExtraRetries=0\n"
	for _, id := range []string{"i-dead-1", "i-dead-2"} {
		b.startServer(id).Close()
	}
	b.startServer("i-1")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	for i := range 30 {
		// A failed connection attempt does not count as a retry.
		got := n.send(gatewayRequest{method: "POST", path: "/once/a", id: fmt.Sprintf("r%d", i), body: "x"})
		b.is.Equal(got.status, http.StatusOK)
	}
}

// A request of an unsafe route must not be sent again if it may have run.
func TestGatewayDoesNotRepeatUnsafeRequests(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	servers := []*fake.Server{b.startServer("i-1"), b.startServer("i-2")}
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	for _, behavior := range []fake.Behavior{fake.ConnectionReset, fake.WrongRequestID} {
		for _, s := range servers {
			s.SetBehavior(behavior)
		}
		id := "once-" + string(behavior)
		got := n.send(gatewayRequest{method: "POST", path: "/once/x", id: id, body: "b"})
		is.Equal(got.status, http.StatusBadGateway) // the request may have run, so not 503
		is.Equal(got.header.Get("Server-Stamp"), "")
		is.Equal(runCount(servers[0], id)+runCount(servers[1], id), 1)
	}
}

// A request of a safe route must be repeated at another server after a failure.
func TestGatewayRepeatsSafeRequests(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	servers := []*fake.Server{b.startServer("i-1"), b.startServer("i-2")}
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	for _, behavior := range []fake.Behavior{fake.ConnectionReset, fake.Failing, fake.WrongRequestID} {
		servers[0].SetBehavior(behavior)
		for i := range 4 {
			got := n.send(gatewayRequest{method: "GET", path: "/repeat/x", id: fmt.Sprintf("%s-%d", behavior, i)})
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.body, "answer of i-2")
		}
	}
	servers[1].SetBehavior(fake.Failing)
	got := n.send(gatewayRequest{method: "GET", path: "/repeat/x", id: "both"})
	is.Equal(got.status, http.StatusInternalServerError) // the server's own response, complete
	is.True(got.header.Get("Server-Stamp") != "")
	is.Equal(runCount(servers[0], "both")+runCount(servers[1], "both"), 2)
}

// At the route's timeout the client must get a response and the server's connection
// must be closed.
func TestGatewayTimesOutAndCancelsRequest(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	s := b.startServer("i-1")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	s.SetBehavior(fake.Unresponsive)
	got := n.send(gatewayRequest{method: "POST", path: "/once/x", id: "slow", body: "b"})
	is.Equal(got.status, http.StatusGatewayTimeout)
	is.True(got.duration >= 900*time.Millisecond && got.duration < 1400*time.Millisecond)
	b.eventually("the server sees the disconnect", func() bool { return s.ClientDisconnects() == 1 })
}

const promptPrefix = "a:10,b:20"

// No event of a stream may be lost.
func TestGatewayPassesStreams(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	b.startServer("i-1")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	got := n.send(gatewayRequest{method: "POST", path: "/stream/x", id: "s", body: "b", header: map[string]string{"Prompt-Prefix": promptPrefix}})
	is.NoErr(got.err)
	is.Equal(strings.Count(got.body, "data: piece-"), fake.StreamEvents)
}

// A truncated stream of a resumable route must continue at another server without
// losing or repeating an event.
func TestGatewayResumesStreamOnceInOrder(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	truncating, healthy := b.startServer("i-1"), b.startServer("i-2")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	truncating.SetBehavior(fake.TruncatedStream)
	resumed := 0
	for i := range 8 {
		header := map[string]string{"Prompt-Prefix": fmt.Sprintf("a:10,b%d:20,c:30", i)}
		got := n.send(gatewayRequest{method: "POST", path: "/resume/x", id: fmt.Sprint("s", i), body: "b", header: header})
		is.NoErr(got.err)
		want := ""
		for event := 1; event <= fake.StreamEvents; event++ {
			want += fmt.Sprintf("id: %d\ndata: piece-%d\n\n", event, event)
		}
		is.Equal(got.body, want)
		if got.header.Get("Server-Stamp") == "i-1" {
			resumed++
			is.Equal(healthy.Runs()[len(healthy.Runs())-1].LastEvent, "2")
		}
	}
	is.True(resumed > 0)
}

// A truncated stream that cannot be resumed must not look complete to the client.
func TestGatewayAbortsTruncatedStream(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	s := b.startServer("i-1")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	s.SetBehavior(fake.TruncatedStream)
	got := n.send(gatewayRequest{method: "POST", path: "/stream/x", id: "s", body: "b", header: map[string]string{"Prompt-Prefix": promptPrefix}})
	is.True(got.err != nil)
	is.Equal(runCount(s, "s"), 1)
}

// A server that was seen draining must get no new requests, and a revoked API key must
// be refused.
func TestGatewayObeysConfigurationAndDrainingServers(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	first, second := b.startServer("i-1"), b.startServer("i-2")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	b.store.Put("servers/i-1", first.Entry("plain", "zone-1", "draining"))
	time.Sleep(time.Second)
	b.store.Put("servers/i-1", first.Entry("plain", "zone-1", "ready")) // a server seen draining is not used again
	time.Sleep(time.Second)
	before := len(first.Runs())
	for i := range 6 {
		is.Equal(n.send(gatewayRequest{method: "POST", path: "/once/x", id: fmt.Sprint("l", i), body: "b"}).status, http.StatusOK)
	}
	is.Equal(len(first.Runs()), before)
	is.True(len(second.Runs()) >= 6)
	b.config["Tenants"] = []any{map[string]any{"Name": "two", "ApiKeys": []string{"key-of-two"}}}
	b.writeConfig()
	b.eventually("the key is revoked", func() bool {
		return n.send(gatewayRequest{method: "GET", path: "/once/x", id: "k"}).status == http.StatusUnauthorized
	})
}

// A node whose store rejects every call must get its state and all changes from a peer.
func TestGatewayGetsChangesFromPeersWhenStoreIsBusy(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	b.startServer("i-1")
	peer := b.startNode(b.store.Address())
	b.waitServing(peer, "p")
	// The second node's store rejects every call with 503.
	busyStore := fake.NewStore()
	t.Cleanup(busyStore.Close)
	busyStore.SetFaults(fake.Faults{Busy: true})
	n := b.startNode(busyStore.Address(), peer.settings.Listen.Peers)
	b.waitServing(n, "q")
	b.config["Tenants"] = []any{}
	b.writeConfig()
	b.eventually("the change arrives", func() bool {
		return n.send(gatewayRequest{method: "GET", path: "/once/x", id: "k", header: map[string]string{"Authorization": "Bearer none"}}).status == http.StatusOK
	})
	for _, node := range []*gatewayNode{peer, n} {
		var found struct{ Addresses []string }
		b.eventually("both nodes are listed", func() bool {
			resp, err := http.Get("http://" + node.settings.Listen.Directory + "/-/resolve?Name=" + testHost)
			if err != nil {
				return false
			}
			defer func() { _ = resp.Body.Close() }()
			return json.NewDecoder(resp.Body).Decode(&found) == nil && len(found.Addresses) == 2
		})
	}
	is.Equal(len(b.nodes), 2)
}

// A node that stops must finish its open streams within its grace period.
func TestGatewayStopsGracefully(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	b.startServer("i-1")
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	responses := make(chan gatewayResponse, 1)
	go func() {
		responses <- n.send(gatewayRequest{method: "POST", path: "/stream/x", id: "s", body: "b", header: map[string]string{"Prompt-Prefix": promptPrefix}})
	}()
	time.Sleep(10 * time.Millisecond)
	n.stop()
	got := <-responses
	is.NoErr(got.err)
	is.Equal(strings.Count(got.body, "data: piece-"), fake.StreamEvents)
	b.eventually("the node is not ready", func() bool {
		resp, err := http.Get("http://" + n.settings.Listen.Ready + "/-/readiness")
		if err != nil {
			return true
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode != http.StatusOK
	})
	select {
	case <-n.done:
	case <-time.After(2 * time.Second):
		t.Fatal("the node did not stop within its grace period")
	}
}

// Lost responses of the store and a change of the reporting node must not lose usage,
// or report a window with different counts.
func TestGatewayReportsUsageOnceDespiteLostResponses(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	b.startServer("i-1")
	first := b.startNode(b.store.Address())
	b.startNode(b.store.Address(), first.settings.Listen.Peers)
	b.waitServing(first, "p")
	served := 0
	for round := range 8 {
		b.store.SetFaults(fake.Faults{DropResponses: round%2 == 1})
		for _, n := range b.nodes {
			if n.send(gatewayRequest{method: "POST", path: "/once/x", id: fmt.Sprintf("u%d%s", round, n.settings.Node), body: "b"}).status == http.StatusOK {
				served++
			}
		}
		if round == 4 {
			first.stop() // the other node takes over the duty
		}
		time.Sleep(400 * time.Millisecond)
	}
	b.store.SetFaults(fake.Faults{})
	reported := func() (total int) {
		seen := map[float64]string{}
		highestToken := int64(0)
		for _, call := range b.cloud.Calls() {
			window := call.Body["Window"].(float64)
			counts, _ := json.Marshal(call.Body["Counts"])
			if old, ok := seen[window]; ok && old != string(counts) {
				t.Fatalf("window %v was reported as %s and %s", window, old, counts)
			}
			if call.FencingToken < highestToken {
				t.Fatalf("fencing token %d after %d", call.FencingToken, highestToken)
			}
			seen[window], highestToken = string(counts), call.FencingToken
		}
		for _, counts := range seen {
			var byCustomer map[string]int
			_ = json.Unmarshal([]byte(counts), &byCustomer)
			total += byCustomer[testCustomer]
		}
		return total
	}
	b.eventually("all runs are reported", func() bool { return reported() >= served })
	is.True(served > 8)
}
