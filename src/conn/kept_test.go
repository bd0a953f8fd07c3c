package conn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// quietServer answers well until it is told to hush: then the connections that
// are open are answered no more, and new ones are.
type quietServer struct {
	hushed atomic.Int64 // connections numbered up to here are silent
	opened atomic.Int64
}

type connNumber struct{}

func (q *quietServer) start(t *testing.T) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Context().Value(connNumber{}).(int64) <= q.hushed.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusOK)
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumber{}, q.opened.Add(1))
	}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func (q *quietServer) hush() { q.hushed.Store(q.opened.Load()) }

// Issue 19, CONFIG: each of several kept connections to the store had to run out of time by itself.
func TestOneSilentConnectionCastsDoubtOnTheOthers(t *testing.T) {
	is := is.New(t)
	q := &quietServer{}
	server := q.start(t)
	var silent atomic.Value
	k := &StallDetectingTransport{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, OnStalledConn: func(host string) { silent.Store(host) }}
	client := &http.Client{Transport: k}
	get := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		is.NoErr(err)
		resp, err := client.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		return err
	}
	calls := make(chan error, 4)
	for range cap(calls) { // several at a time, so that several connections are kept
		go func() { calls <- get(5 * time.Second) }()
	}
	for range cap(calls) {
		is.NoErr(<-calls)
	}
	q.hush()
	is.True(get(100*time.Millisecond) != nil)
	is.Equal(silent.Load(), nil) // a host that is down looks the same so far
	is.NoErr(get(5 * time.Second))
	at, err := url.Parse(server.URL)
	is.NoErr(err)
	is.Equal(silent.Load(), at.Host)
}

func TestDialerBoundsSilence(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	conn, err := Dialer(time.Second).Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	var got int
	is.NoErr(raw.Control(func(fd uintptr) {
		got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	is.NoErr(err)
	is.Equal(got, int(unackedMost.Milliseconds()))
}
