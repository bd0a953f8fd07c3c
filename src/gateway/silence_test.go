package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against servers being probed, and connections closed, because one of them is slow or
// silent for a moment.
func TestOnlySilenceOfWholeServiceIsProbed(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(3)
	servers := pool.byService["s"]
	pool.beginRequest(servers[0], 0)
	pass(silenceLimit / 2)
	is.Equal(len(pool.silentServers()), 0) // it has not waited long enough
	pool.beginRequest(servers[1], 0)
	pass(silenceLimit / 2)
	pool.heard(servers[1])
	is.Equal(len(pool.silentServers()), 0) // another server is heard from
	pass(silenceLimit)
	list := pool.silentServers()["s"]
	is.Equal(len(list), 3)
	is.Equal(list[0].id, "i-0") // silent longest
	is.Equal(len(pool.silentServers()), 0)
	pool.endSilenceCheck("s")
	is.Equal(len(pool.silentServers()), 0) // they have just been probed
	pool.endRequest(servers[0])
	pool.endRequest(servers[1])
	pass(silenceInterval)
	is.Equal(len(pool.silentServers()), 0) // nothing waits
}

// Guards against sends being given up for the silence of a second of a sound server, or while
// open connections work.
func TestSendsAreAbandonedOnlyWhereNoServerIsReached(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(2)
	servers := pool.byService["s"]
	pool.beginRequest(servers[0], 0)
	repeatable, once := pool.sendContext(servers[0], true), pool.sendContext(servers[0], false)
	pool.markUnreachable(servers[0])
	pass(abandonDelay)
	is.Equal(len(pool.lostServices()), 0) // the other server is reached
	pool.markUnreachable(servers[1])
	is.Equal(len(pool.lostServices()), 0) // not for long enough
	pass(abandonDelay)
	is.Equal(pool.lostServices(), []string{"s"})
	pool.heard(servers[0])
	is.Equal(len(pool.lostServices()), 0) // an open connection works
	pool.recordNoConnection(servers[0])
	is.Equal(pool.abandonSends("s"), 2)
	is.True(repeatable.Err() != nil)
	is.True(once.Err() == nil)
	is.True(pool.sendContext(servers[0], true).Err() == nil)
	is.Equal(len(pool.lostServices()), 0) // given up once
}

// Guards against requests that a server runs being given up because a later request found all
// connections to it in use and could not open a new one.
func TestSendsOnOpenConnectionsAreNotAbandoned(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(1)
	s := pool.byService["s"][0]
	pool.beginRequest(s, 0)
	pool.markUnreachable(s)
	pass(abandonDelay)
	pool.heard(s)
	pool.beginRequest(s, 0)
	pool.recordNoConnection(s)
	is.Equal(len(pool.candidates("s", nil)), 0)
	is.Equal(len(pool.lostServices()), 0)
	pass(abandonDelay / 2)
	is.Equal(len(pool.lostServices()), 0)
	pass(abandonDelay / 2)
	is.Equal(pool.lostServices(), []string{"s"}) // the open ones have fallen silent too
}

// Guards against requests that have just been sent over an open connection being given up
// because nothing had been sent over it for a while.
func TestSendsAreNotAbandonedForSilenceBeforeThem(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(1)
	s := pool.byService["s"][0]
	pool.markUnreachable(s)
	pass(time.Millisecond)
	pool.heard(s)
	pass(abandonDelay)
	pool.beginRequest(s, 0)
	is.Equal(len(pool.lostServices()), 0)
	pass(abandonDelay)
	is.Equal(pool.lostServices(), []string{"s"})
}

// Guards against requests that wait, one after the other, for open connections that have
// stalled while new ones work.
func TestStalledConnectionIsToldFromSlowResponse(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(1)
	s := pool.byService["s"][0]
	pass(idleCloseSpacing)
	sent := pool.now()
	is.True(!pool.overtaken(s, sent))
	pool.recordResponse(s, sent.Add(-time.Millisecond))
	is.True(!pool.overtaken(s, sent)) // the response to an earlier request
	pool.recordResponse(s, sent.Add(time.Millisecond))
	is.True(pool.overtaken(s, sent))
	is.True(!pool.overtaken(s, sent)) // closed just now
}

// Guards against requests being lost one by one on kept connections that a partition has reset.
func TestResetsOfSeveralServersCloseIdleConnectionsOfService(t *testing.T) {
	is := is.New(t)
	pool, pass := newReachPool(resetServers + 1)
	servers := pool.byService["s"]
	idle := map[string]net.Conn{} // by server
	for _, s := range servers {
		idle[s.id] = openIdleConnection(t, pool, s)
	}
	pool.recordReset(servers[0])
	is.True(closed(idle[servers[0].id]))
	is.True(!closed(idle[servers[1].id]))
	pass(resetWindow)
	for _, s := range servers[:resetServers] {
		pool.recordReset(s)
	}
	is.True(closed(idle[servers[resetServers].id]))
}

// openIdleConnection makes the pool keep an idle connection to a server, and returns the
// server's end.
func openIdleConnection(t *testing.T, pool *upstreamPool, s *upstream) net.Conn {
	server, client := net.Pipe()
	s.transport.DialContext = func(context.Context, string, string) (net.Conn, error) { return client, nil }
	go func() {
		request, err := http.ReadRequest(bufio.NewReader(server))
		if err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	request, err := http.NewRequest(http.MethodGet, "http://"+s.address, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := s.transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return server
}

// closed reports whether the other end of a connection is closed.
func closed(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}
