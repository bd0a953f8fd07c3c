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

// newProxiedCrashBed is newCrashBed with servers behind proxies, which accept connections
// while their server is down.
func newProxiedCrashBed(t *testing.T, servers int, downtime time.Duration) *crashBed {
	b := &crashBed{gatewayTestbed: newGatewayTestbed(t)}
	for i := range servers {
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
	return b
}

// soundTraffic is what became of the requests that clients send beside others.
type soundTraffic struct {
	sent, failed, refused, quarantined atomic.Int64
	stop                               chan struct{}
	group                              sync.WaitGroup
}

// sendSound starts clients that send sound requests to random paths until end is called.
// body returns the body of a client's next request.
func sendSound(nodes []*gatewayNode, clients int, path string, body func(client, n int) string) *soundTraffic {
	s := &soundTraffic{stop: make(chan struct{})}
	for client := range clients {
		s.group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-s.stop:
					return
				default:
				}
				s.count(nodes[(client+n)%len(nodes)].send(gatewayRequest{method: http.MethodPost, path: path, id: fmt.Sprintf("sound-%d-%d", client, n), body: body(client, n)}))
			}
		})
	}
	return s
}

func (s *soundTraffic) count(got gatewayResponse) {
	s.sent.Add(1)
	switch {
	case got.body == "crashes_servers\n":
		s.quarantined.Add(1)
	case got.err == nil && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests):
		s.refused.Add(1)
	case got.err != nil || got.status != http.StatusOK:
		s.failed.Add(1)
	}
}

func (s *soundTraffic) end() string {
	close(s.stop)
	s.group.Wait()
	return fmt.Sprintf("%d sound requests: %d quarantined, %d refused, %d failed", s.sent.Load(), s.quarantined.Load(), s.refused.Load(), s.failed.Load())
}

// Guards against sound requests being sent on and on to servers that are down behind proxies:
// a crash may take with it only what is in progress at the server.
func TestRequestsAreNotSentToServersDownBehindProxies(t *testing.T) {
	const clients = 8
	for _, route := range []string{"/once/x", "/repeat/x"} {
		t.Run(route[1:len(route)-2], func(t *testing.T) {
			t.Parallel() // mostly waits
			is := is.New(t)
			b := newProxiedCrashBed(t, 12, 2100*time.Millisecond)
			nodes := b.startNodes(4)
			traffic := sendSound(nodes, clients, "/once/x", func(client, n int) string { return fmt.Sprint("sound ", client, n) })
			b.sendCrashing(route, nodes, 5*time.Second)
			t.Logf("%d crashes", b.crashes())
			t.Log(traffic.end())
			is.True(traffic.failed.Load() <= int64(clients*b.crashes()))
		})
	}
}

// Guards against one crash after the other behind proxies, where each is known for certain
// only when its server is back.
func TestCrashesBehindProxiesAreStoppedBeforeServersReturn(t *testing.T) {
	for _, route := range []string{"/once/x", "/repeat/x", "/resume/x"} {
		t.Run(route[1:len(route)-2], func(t *testing.T) {
			t.Parallel() // mostly waits
			is := is.New(t)
			b := newProxiedCrashBed(t, 12, 2100*time.Millisecond)
			nodes := b.startNodes(4)
			late := b.sendCrashing(route, nodes, crashTestLength)
			t.Logf("%d crashes, %d of them late", b.crashes(), late)
			is.True(late <= retriesAfter)
			is.True(b.crashes() <= 3+retriesAfter)
		})
	}
}

// Guards against one request that many clients send at once crashing all servers of a service.
func TestCrashingRequestSentByManyAtOnce(t *testing.T) {
	const servers, clients, downtime = 10, 8, 1500 * time.Millisecond
	for _, proxied := range []bool{false, true} {
		t.Run(fmt.Sprint("proxied-", proxied), func(t *testing.T) {
			t.Parallel() // mostly waits
			is := is.New(t)
			var b *crashBed
			if proxied {
				b = newProxiedCrashBed(t, servers, downtime)
			} else {
				b = newCrashBed(t, servers)
				for _, s := range b.servers {
					s.CrashOn(crashBody, downtime, func() { b.store.Put("servers/"+s.ID, s.Entry("plain", "zone-1", "ready")) })
				}
			}
			nodes := b.startNodes(4)
			sound := sendSound(nodes, 4, "/once/x", func(client, n int) string { return fmt.Sprint("sound ", client, n) })
			bad := sendSound(nodes, clients, "/once/x", func(int, int) string { return crashBody })
			time.Sleep(contactTimeout)
			early := b.crashes()
			time.Sleep(contactTimeout)
			t.Logf("%d crashes in the first %s, %d later", early, contactTimeout, b.crashes()-early)
			t.Log(bad.end())
			t.Log(sound.end())
			is.True(early <= clients+retriesAfter) // the first copy of each client is sent before any crash
			is.True(b.crashes()-early <= retriesAfter)
			is.Equal(sound.refused.Load(), int64(0)) // servers are left for them
			is.Equal(sound.quarantined.Load(), int64(0))
		})
	}
}

// Guards against a popular request being refused as one that crashes servers while they
// restart one after the other.
func TestPopularRequestIsServedWhileServersRestart(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	const (
		servers  = 5
		runTime  = 100 * time.Millisecond
		interval = 120 * time.Millisecond // between two restarts
		popular  = 900 * time.Millisecond // for which one request is popular
		length   = 10 * time.Second
	)
	b := &crashBed{gatewayTestbed: newGatewayTestbed(t)}
	for i := range servers {
		s := b.startServer(fmt.Sprintf("i-%d", i+1))
		s.SetSlots(100, runTime)
		b.servers = append(b.servers, s)
	}
	nodes := b.startNodes(10)
	start := time.Now()
	traffic := sendSound(nodes, 20, "/once/x", func(int, int) string { return fmt.Sprint("popular ", time.Since(start)/popular) })
	for i := 0; time.Since(start) < length; i++ {
		s := b.servers[i%servers]
		s.Restart()
		b.store.Put("servers/"+s.ID, s.Entry("plain", "zone-1", "ready"))
		time.Sleep(interval)
	}
	t.Log(traffic.end())
	is.Equal(traffic.quarantined.Load(), int64(0))
	is.Equal(traffic.refused.Load(), int64(0))
}
