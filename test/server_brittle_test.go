package test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/platform/fake"
)

// Servers of the tests of brittle ones.
const (
	brittleServers  = 4
	brittleSlots    = 4
	brittleQueue    = 6 // requests that wait until the servers let nobody wait
	brittleNodes    = 6
	brittleRunTime  = 100 * time.Millisecond
	brittleDowntime = 2 * time.Second
	brittleLength   = 8 * time.Second // from the time when nobody may wait any more
	brittleFalls    = 2               // 2 + a tenth of the servers
	brittleCapacity = brittleServers * brittleSlots * int(brittleLength/brittleRunTime)
)

// politeClients send requests to random nodes one after the other, and wait as long as a
// refusal says.
type politeClients struct {
	served, refused, failed atomic.Int64
	stop                    chan struct{}
	group                   sync.WaitGroup
}

func startPoliteClients(nodes []*gatewayNode, count int) *politeClients {
	c := &politeClients{stop: make(chan struct{})}
	for client := range count {
		c.group.Go(func() { c.run(nodes, client) })
	}
	return c
}

func (c *politeClients) run(nodes []*gatewayNode, client int) {
	for i := 0; ; i++ {
		got := nodes[(client+i)%len(nodes)].send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprintf("b-%d-%d", client, i), body: fmt.Sprint(client, i)})
		wait := 10 * time.Millisecond
		switch {
		case got.status == http.StatusOK:
			c.served.Add(1)
		case got.status == http.StatusServiceUnavailable:
			c.refused.Add(1)
			if seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err == nil {
				wait = time.Duration(seconds * float64(time.Second))
			}
		default:
			c.failed.Add(1)
		}
		select {
		case <-c.stop:
			return
		case <-time.After(wait):
		}
	}
}

func (c *politeClients) end() {
	close(c.stop)
	c.group.Wait()
}

// Guards against LIMIT of issue 35: servers that say that they are brittle got as many requests
// as they had places and waiting room for, fell over when they let fewer wait, and again each
// time they came back.
func TestBrittleServersDoNotFallOver(t *testing.T) {
	// It measures short times, so it does not run in parallel with other tests.
	for _, c := range []struct {
		rejections, clients int
		crash               bool // one server crashes and comes back
	}{{8, 40, false}, {8, 90, true}, {3, 40, true}, {3, 90, false}} {
		t.Run(fmt.Sprintf("%d rejections, %d clients", c.rejections, c.clients), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newGatewayTestbed(t)
			var servers []*fake.Server
			for i := range brittleServers {
				s := b.startServer(fmt.Sprint("i-", i))
				s.SetSlots(brittleSlots, brittleRunTime)
				s.SetQueue(brittleQueue)
				servers = append(servers, s)
			}
			clients := startPoliteClients(b.startNodes(brittleNodes), c.clients)
			time.Sleep(time.Second)
			for _, s := range servers {
				s.SetBrittle(c.rejections, contactTimeout, brittleDowntime, func() { b.store.Put("servers/"+s.ID, s.Entry("plain", "zone-1", "ready")) })
			}
			time.Sleep(contactTimeout)
			for _, s := range servers {
				s.SetQueue(0)
			}
			before := clients.served.Load()
			if c.crash {
				servers[0].Crash()
			}
			time.Sleep(brittleLength)
			served := int(clients.served.Load() - before)
			clients.end()
			falls := 0
			if c.crash {
				falls--
			}
			for _, s := range servers {
				falls += s.Crashes()
			}
			t.Logf("%d falls; %d served of %d possible; in all %d refused, %d failed", falls, served, brittleCapacity, clients.refused.Load(), clients.failed.Load())
			is.True(falls <= brittleFalls)
			is.True(served >= brittleCapacity/2)
		})
	}
}

// Guards against callers of nodes that have no place at a brittle server, as it has fewer than
// there are nodes, being refused while it has room.
func TestBrittleServerWithFewerPlacesThanNodesServesAllCallers(t *testing.T) {
	t.Parallel() // mostly waits
	is := is.New(t)
	b := newGatewayTestbed(t)
	s := b.startServer("i-1")
	s.SetSlots(brittleSlots, time.Millisecond)
	nodes := b.startNodes(2 * brittleSlots)
	s.SetBrittle(0, 0, brittleDowntime, func() {})
	is.Equal(nodes[0].send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: "brittle"}).status, http.StatusOK)
	time.Sleep(time.Second) // the nodes tell each other
	for i := range 5 * len(nodes) {
		got := nodes[i%len(nodes)].send(gatewayRequest{method: http.MethodPost, path: "/once/x", id: fmt.Sprint("few-", i)})
		is.Equal(got.status, http.StatusOK)
	}
	is.Equal(s.Crashes(), 0)
}
