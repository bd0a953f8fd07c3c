package test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Limits of a server that sends bytes without end.
const (
	endlessRequests    = 120 // to a sound server and one that sends without end
	endlessAtOnce      = 6
	endlessMostBroken  = 3 * endlessAtOnce      // responses that have begun and are broken off, until the server is left out
	endlessMostBytes   = 65 << 20               // of one response at its client
	endlessMostHeap    = 160 << 20              // of the whole test process
	endlessAnswerLimit = 500 * time.Millisecond // after the route's limit, by which a client has its answer
	firstEjection      = 600 * time.Millisecond // for which a server is left out after its first failure, and a little
	routeLimit         = time.Second            // of the routes of newGatewayTestbed
)

// endlessForm is a response that never ends. In head, ID stands for the request's ID.
type endlessForm struct {
	name   string
	path   string // of the requests
	head   string
	repeat string // sent until the connection is closed
}

const (
	responseHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: bad\r\n"
	streamHead   = responseHead + "Content-Type: text/event-stream\r\n"
	chunked      = "Transfer-Encoding: chunked\r\n\r\n"
)

var (
	filler       = strings.Repeat("x", 4<<10)
	fillerChunk  = fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)
	eventsChunk  = chunkOf(strings.Repeat("id: 7\ndata: t\n\n", 100))
	commentChunk = chunkOf(strings.Repeat(": still there\n\n", 100))
	endlessForms = []endlessForm{
		{"status line", "/repeat/x", "HTTP/1.1 200 ", filler},
		{"header line", "/repeat/x", responseHead + "Long: ", filler},
		{"header fields", "/repeat/x", responseHead, "More: " + filler[:1000] + "\r\n"},
		{"interim responses", "/repeat/x", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		{"body with a length", "/repeat/x", responseHead + "Content-Length: 1099511627776\r\n\r\n", filler},
		{"body in chunks", "/repeat/x", responseHead + chunked, fillerChunk},
		{"body without framing", "/repeat/x", responseHead + "Connection: close\r\n\r\n", filler},
		{"body once", "/once/x", responseHead + chunked, fillerChunk},
		{"chunk line", "/repeat/x", responseHead + chunked + "1;", filler},
		{"trailers", "/repeat/x", responseHead + chunked + "1\r\nx\r\n0\r\n", "More: " + filler[:1000] + "\r\n"},
		{"events", "/stream/x", streamHead + chunked, eventsChunk},
		{"events of a resumable stream", "/resume/x", streamHead + chunked, eventsChunk},
		{"events without framing", "/stream/x", streamHead + "Connection: close\r\n\r\n", strings.Repeat("id: 7\ndata: t\n\n", 100)},
		{"one event", "/stream/x", streamHead + chunked + "4\r\nid: \r\n", fillerChunk},
		{"comments", "/stream/x", streamHead + chunked, commentChunk},
		{"refusal", "/repeat/x", "HTTP/1.1 503 Busy\r\nRequest-Id: ID\r\nNot-Executed: 1\r\n" + chunked, fillerChunk},
		{"error", "/repeat/x", "HTTP/1.1 500 Failed\r\nRequest-Id: ID\r\nServer-Stamp: bad\r\n" + chunked, fillerChunk},
		{"error once", "/once/x", "HTTP/1.1 500 Failed\r\nRequest-Id: ID\r\nServer-Stamp: bad\r\n" + chunked, fillerChunk},
	}
)

func chunkOf(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// endlessServer answers every request with bytes that never end.
type endlessServer struct {
	form     endlessForm
	listener net.Listener
	open     atomic.Int64 // connections with a request
	requests atomic.Int64
}

func startEndlessServer(t *testing.T, form endlessForm) *endlessServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{form: form, listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *endlessServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.requests.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	_, err = io.WriteString(conn, strings.ReplaceAll(s.form.head, "ID", req.Header.Get("Request-Id")))
	for err == nil {
		_, err = io.WriteString(conn, s.form.repeat)
	}
}

// endlessResult is what a client saw of one request.
type endlessResult struct {
	status int
	err    error
	bytes  int64
	took   time.Duration
}

// sendCounting sends a request and counts the bytes of the response.
func sendCounting(n *gatewayNode, path, id string) (out endlessResult) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*routeLimit)
	defer cancel()
	method := http.MethodPost
	if strings.HasPrefix(path, "/repeat/") {
		method = http.MethodGet
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+n.settings.Listen.Callers+path, nil)
	req.Host = testHost
	req.Header = http.Header{"Request-Id": {id}, "Authorization": {"Bearer " + testAPIKey}, "Token-Usage": {"15,10"}}
	start := time.Now()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return endlessResult{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	out.status = resp.StatusCode
	buffer := make([]byte, 32<<10)
	for out.err == nil {
		var count int
		count, out.err = resp.Body.Read(buffer)
		out.bytes += int64(count)
	}
	if out.err == io.EOF {
		out.err = nil
	}
	out.took = time.Since(start)
	return out
}

// Guards against callers, memory and time that a server takes which sends bytes without end, in
// each place of a response: it is left out soon, and nobody waits for the end.
func TestBytesWithoutEnd(t *testing.T) {
	for _, form := range endlessForms {
		t.Run(form.name, func(t *testing.T) {
			is := is.New(t)
			b := newGatewayTestbed(t)
			sound := b.startServer("i-sound")
			bad := startEndlessServer(t, form)
			entry := sound.Entry("plain", "zone-1", "ready")
			entry["Address"] = bad.listener.Addr().String()
			n := b.startNodes(1)[0]
			b.eventually("streams begin", func() bool {
				return sendCounting(n, "/resume/x", fmt.Sprint(time.Now().UnixNano())).status == http.StatusOK
			})
			b.store.Put("servers/i-bad", entry)
			b.eventually("the server is used", func() bool {
				sendCounting(n, form.path, fmt.Sprint(time.Now().UnixNano()))
				return bad.requests.Load() > 0
			})
			time.Sleep(firstEjection) // it is tried again
			var mu sync.Mutex
			served, broken := 0, 0
			var most endlessResult
			numbers := make(chan int)
			var clients sync.WaitGroup
			for range endlessAtOnce {
				clients.Go(func() {
					for i := range numbers {
						got := sendCounting(n, form.path, fmt.Sprint("e-", i))
						mu.Lock()
						most.bytes, most.took = max(most.bytes, got.bytes), max(most.took, got.took)
						if got.status == http.StatusOK && got.err == nil {
							served++
						}
						if got.status == http.StatusOK && got.err != nil {
							broken++
						}
						mu.Unlock()
					}
				})
			}
			for i := range endlessRequests {
				numbers <- i
			}
			close(numbers)
			clients.Wait()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			t.Logf("%d served, %d broken off, %d requests at the server; most bytes %d, longest %s, heap %d MB", served, broken, bad.requests.Load(), most.bytes, most.took, memory.HeapAlloc>>20)
			is.True(broken <= endlessMostBroken)
			is.True(most.bytes <= endlessMostBytes)
			is.True(most.took <= routeLimit+endlessAnswerLimit)
			is.True(memory.HeapAlloc <= endlessMostHeap)
			b.eventually("all connections to the server are closed", func() bool { return bad.open.Load() == 0 })
		})
	}
}

// Guards against a client that does not read, and holds a response, and what belongs to it, beyond
// the limit of its route.
func TestClientThatDoesNotReadIsBrokenOffAtTheLimit(t *testing.T) {
	t.Parallel() // mostly waits
	for _, name := range []string{"body in chunks", "events", "body without framing"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			b := newGatewayTestbed(t)
			form := endlessForms[slices.IndexFunc(endlessForms, func(f endlessForm) bool { return f.name == name })]
			bad := startEndlessServer(t, form)
			server := b.startServer("i-sound")
			n := b.startNodes(1)[0]
			entry := server.Entry("plain", "zone-1", "ready")
			entry["Address"] = bad.listener.Addr().String()
			b.store.Put("servers/i-bad", entry)
			b.store.Remove("servers/i-sound")
			b.eventually("the server is used", func() bool {
				conn, err := net.Dial("tcp", n.settings.Listen.Callers)
				is.NoErr(err)
				t.Cleanup(func() { _ = conn.Close() })
				_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: silent-%d\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", form.path, testHost, time.Now().UnixNano(), testAPIKey)
				is.NoErr(err)
				time.Sleep(20 * time.Millisecond)
				return bad.requests.Load() > 0
			})
			time.Sleep(routeLimit + endlessAnswerLimit)
			is.Equal(bad.open.Load(), int64(0))
			is.Equal(b.openRequests(n.settings.Listen.Peers), 0)
		})
	}
}
