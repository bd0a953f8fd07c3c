package test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/platform/fake"
)

const (
	crashBody       = "crashes every server"
	crashDowntime   = 300 * time.Millisecond
	crashInterval   = 150 * time.Millisecond // between two attempts of the request
	contactTimeout  = 3 * time.Second        // from the third crash until all nodes must know of it
	retriesAfter    = 3                      // further sends allowed after that
	crashTestLength = 8 * time.Second
)

// crashBed is a gateway testbed whose servers all crash on one request.
type crashBed struct {
	*gatewayTestbed
	servers []*fake.Server
}

func newCrashBed(t *testing.T, servers int) *crashBed {
	b := &crashBed{gatewayTestbed: newGatewayTestbed(t)}
	for i := range servers {
		id := fmt.Sprintf("i-%d", i+1)
		s := b.startServer(id)
		s.CrashOn(crashBody, crashDowntime, func() { b.store.Put("servers/"+id, s.Entry("plain", "zone-1", "ready")) })
		b.servers = append(b.servers, s)
	}
	return b
}

func (b *crashBed) crashes() int {
	total := 0
	for _, s := range b.servers {
		total += s.Crashes()
	}
	return total
}

// sendCrashing sends the request that crashes servers to the nodes in turn, and returns
// how many sends reached servers later than contactTimeout after the third crash.
func (b *crashBed) sendCrashing(path string, nodes []*gatewayNode, length time.Duration) (late int) {
	start := time.Now()
	var thirdCrash time.Time
	allowed := 0
	for i := 0; time.Since(start) < length; i++ {
		node := nodes[i%len(nodes)]
		node.send(gatewayRequest{method: http.MethodPost, path: path, id: fmt.Sprint("bad-", i), body: crashBody})
		if thirdCrash.IsZero() && b.crashes() >= 3 {
			thirdCrash = time.Now()
		}
		if !thirdCrash.IsZero() && allowed == 0 && time.Since(thirdCrash) > contactTimeout {
			allowed = b.crashes()
		}
		time.Sleep(crashInterval)
	}
	return b.crashes() - allowed
}

// Guards against BUDGET of issue 25: a request under which three servers had crashed was
// sent again with each attempt of its client, at any node.
func TestRequestThatCrashesServersIsNotSentAgain(t *testing.T) {
	t.Parallel() // mostly waits
	for _, route := range []string{"/once/x", "/repeat/x", "/resume/x"} {
		t.Run(route[1:len(route)-2], func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newCrashBed(t, 8)
			nodes := b.startNodes(4)
			late := b.sendCrashing(route, nodes, crashTestLength)
			t.Logf("%d crashes, %d of them late", b.crashes(), late)
			is.True(late <= retriesAfter)
			is.True(b.crashes() <= 3+retriesAfter)
		})
	}
}

// Guards against a request that is sent on and on where a crash shows only when the server is
// back, as a proxy accepts connections meanwhile: the crashes of one attempt after the other
// counted as one.
func TestRequestThatCrashesServersBehindProxiesIsNotSentAgain(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	const downtime = 2100 * time.Millisecond
	b := &crashBed{gatewayTestbed: newGatewayTestbed(t)}
	for i := range 12 {
		id := fmt.Sprintf("i-%d", i+1)
		s := fake.NewServer(id)
		t.Cleanup(s.Close)
		proxy := newLink(t, "crashing-"+id, s.Entry("plain", "zone-1", "ready")["Address"].(string))
		register := func() {
			entry := s.Entry("plain", "zone-1", "ready")
			entry["Address"] = proxy.addr
			b.store.Put("servers/"+id, entry)
		}
		s.CrashOn(crashBody, downtime, register)
		register()
		b.servers = append(b.servers, s)
	}
	nodes := b.startNodes(4)
	late := b.sendCrashing("/once/x", nodes, crashTestLength)
	t.Logf("%d crashes, %d of them late", b.crashes(), late)
	is.True(late <= retriesAfter)
}

// Guards against sound requests being quarantined for running beside one that crashes
// servers: they must be served while it is sent and afterwards.
func TestRequestsBesideOneThatCrashesServersAreServed(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newCrashBed(t, 8)
	nodes := b.startNodes(3)
	stop := make(chan struct{})
	var sent, quarantined atomic.Int64
	var group sync.WaitGroup
	for worker := range 6 {
		group.Add(1)
		go func() {
			defer group.Done()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("good-%d-%d", worker, i)
				// The same few bodies again and again, as popular requests have.
				got := nodes[i%len(nodes)].send(gatewayRequest{method: http.MethodPost, path: "/resume/x", id: id, body: fmt.Sprint("popular ", i%3),
					header: map[string]string{"Prompt-Prefix": "aa:10,bb:5", "Token-Usage": "15,10"}})
				sent.Add(1)
				if got.status == http.StatusServiceUnavailable && got.body == "crashes_servers\n" {
					quarantined.Add(1)
				}
			}
		}()
	}
	b.sendCrashing("/resume/x", nodes, 4*time.Second)
	close(stop)
	group.Wait()
	t.Logf("%d sound requests, %d quarantined, %d crashes", sent.Load(), quarantined.Load(), b.crashes())
	is.Equal(quarantined.Load(), int64(0))
	is.True(sent.Load() > 100)
}

// quarantine makes the request known as one that crashes servers, at the given nodes.
func (b *crashBed) quarantine(nodes []*gatewayNode) {
	b.t.Helper()
	b.eventually("request is refused at all nodes", func() bool {
		refusals := 0
		for i, n := range nodes {
			got := n.send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprint("bad-", i, "-", b.crashes()), body: crashBody})
			if got.body == "crashes_servers\n" {
				refusals++
			}
		}
		return refusals == len(nodes)
	})
}

// trialDelay is the documented time from the last crash until a quarantined request may be tried again.
const trialDelay = 10 * time.Second

// Guards against a quarantined request being sent again after all nodes were lost at
// once, and at a node that starts while the store does not answer.
func TestQuarantineOutlivesItsNodes(t *testing.T) {
	is := is.New(t)
	b := newCrashBed(t, 8)
	first := b.startNode(b.store.Address())
	b.waitServing(first, "p1")
	b.quarantine([]*gatewayNode{first})
	b.eventually("stored", func() bool { return len(b.store.Keys("crankridge/quarantine/")) == 1 })
	first.stop()
	<-first.done
	before := b.crashes()
	second := b.startNode(b.store.Address())
	b.waitServing(second, "p2")
	b.store.SetFaults(fake.Faults{Unresponsive: true})
	third := b.startNode(b.store.Address(), second.settings.Listen.Peers)
	b.waitServing(third, "p3")
	for i, n := range []*gatewayNode{second, third} {
		got := n.send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprint("again-", i), body: crashBody})
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.Equal(got.body, "crashes_servers\n")
		is.Equal(got.header.Get("Retry-After"), "") // it would be refused again
		is.True(got.duration < 100*time.Millisecond)
	}
	is.Equal(b.crashes(), before)
}

// Guards against a request being sent again because the store does not answer when it
// crashes its servers.
func TestQuarantineSpreadsWithoutStore(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newCrashBed(t, 8)
	nodes := b.startNodes(3)
	b.store.SetFaults(fake.Faults{Unresponsive: true})
	late := b.sendCrashing("/once/x", nodes, 5*time.Second)
	t.Logf("%d crashes, %d of them late", b.crashes(), late)
	is.Equal(late, 0)
}

// Guards against quarantining requests for what is no crash: lost, spoiled and failed
// answers, and a server that ends as planned.
func TestBrokenAnswersDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	b := newGatewayTestbed(t)
	servers := []*fake.Server{b.startServer("i-1"), b.startServer("i-2"), b.startServer("i-3")}
	n := b.startNode(b.store.Address())
	b.waitServing(n, "p")
	for _, behavior := range []fake.Behavior{fake.ConnectionReset, fake.TruncatedStream, fake.WrongRequestID, fake.Failing} {
		for _, s := range servers {
			s.SetBehavior(behavior)
		}
		for i := range 6 {
			n.send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprint(behavior, i), body: "sound", header: map[string]string{"Prompt-Prefix": "aa:1"}})
		}
	}
	for _, s := range servers {
		b.store.Put("servers/"+s.ID, s.Entry("plain", "zone-1", "draining"))
	}
	time.Sleep(300 * time.Millisecond) // until the node knows
	for _, s := range servers {
		s.SetBehavior(fake.Healthy)
	}
	b.startServer("i-4")
	b.eventually("served by the new server", func() bool {
		return n.send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprint("sound-", time.Now().UnixNano()), body: "sound"}).status == http.StatusOK
	})
	is.Equal(len(b.store.Keys("crankridge/quarantine/")), 0)
}

// Guards against a request being refused for good although the servers run it by now: it
// is tried once, by one node, some time after the last crash.
func TestQuarantineEndsWithSuccessfulTrial(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newCrashBed(t, 6)
	nodes := b.startNodes(2)
	b.quarantine(nodes)
	b.eventually("stored", func() bool { return len(b.store.Keys("crankridge/quarantine/")) == 1 })
	before := b.crashes()
	var lastCrash time.Time
	for _, s := range b.servers {
		s.CrashOn("", 0, func() {})
		if at := s.LastCrash(); at.After(lastCrash) {
			lastCrash = at
		}
	}
	start := time.Now()
	refused := 0
	for i := 0; ; i++ {
		got := nodes[i%2].send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprint("later-", i), body: crashBody})
		if got.status == http.StatusOK {
			break
		}
		is.Equal(got.body, "crashes_servers\n")
		refused++
		is.True(time.Since(start) < 15*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	is.True(time.Since(lastCrash) >= trialDelay) // not at once
	is.True(refused > 50)
	is.Equal(b.crashes(), before)
	b.eventually("the other node serves it as well", func() bool {
		ok := 0
		for i, n := range nodes {
			got := n.send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprint("served-", i, time.Now().UnixNano()), body: crashBody})
			if got.status == http.StatusOK {
				ok++
			}
		}
		return ok == len(nodes)
	})
}
