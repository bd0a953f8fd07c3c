package test

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crankridge/crankridge/platform/fake"
	"github.com/crankridge/crankridge/src/gateway"
	"github.com/crankridge/crankridge/src/traffic"
)

// cutMode is what a partition between a node and its servers does to connections.
type cutMode string

// The modes of partitions.
const (
	cutSilent  cutMode = "silent"  // new connections hang, and open ones too
	cutReset   cutMode = "reset"   // new connections are refused, and open ones are reset
	cutNewOnly cutMode = "newOnly" // new connections are refused, and open ones live on
	cutOldOnly cutMode = "oldOnly" // open connections hang for good, and new ones work
)

// linkedPlatform gives one node links of its own to the servers, which can be cut.
type linkedPlatform struct {
	gateway.Platform
	links *serverLinks
}

// DecodeServer replaces the address of a server by that of this node's link to it.
func (p *linkedPlatform) DecodeServer(key string, raw []byte) (traffic.Upstream, error) {
	s, err := p.Platform.DecodeServer(key, raw)
	if err == nil {
		s.Address = p.links.to(s.ID, s.Address)
	}
	return s, err
}

// serverLinks are the links of one node to the servers.
type serverLinks struct {
	t    *testing.T
	mu   sync.Mutex
	all  map[string]*serverLink // by address of the server
	mode cutMode                // of the present cut; empty while there is none
	cuts func(server string) bool
}

func newServerLinks(t *testing.T) *serverLinks {
	return &serverLinks{t: t, all: map[string]*serverLink{}}
}

// to returns the address of the link to a server, which it makes if there is none.
func (l *serverLinks) to(id, server string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	link := l.all[server]
	if link == nil {
		link = &serverLink{id: id, address: freeAddr(l.t), server: server, conns: map[net.Conn]*linkedConn{}}
		link.listen(l.t)
		l.t.Cleanup(link.close)
		l.all[server] = link
		if l.mode != "" && l.cuts(id) {
			link.cut(l.t, l.mode)
		}
	}
	return link.address
}

// cut partitions the node from all servers.
func (l *serverLinks) cut(mode cutMode) { l.cutSome(mode, func(string) bool { return true }) }

// cutSome partitions the node from the servers with the given IDs.
func (l *serverLinks) cutSome(mode cutMode, cuts func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.cuts = mode, cuts
	for _, link := range l.all {
		if cuts(link.id) {
			link.cut(l.t, mode)
		}
	}
}

// heal ends the cut.
func (l *serverLinks) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.all {
		link.heal(l.t)
	}
	l.mode = ""
}

// dials returns how many connections the node has opened on all links.
func (l *serverLinks) dials() int { return l.countDials(func(string) bool { return true }) }

// dialsTo returns how many connections the node has opened to one server.
func (l *serverLinks) dialsTo(id string) int {
	return l.countDials(func(server string) bool { return server == id })
}

func (l *serverLinks) countDials(counts func(id string) bool) (total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.all {
		if !counts(link.id) {
			continue
		}
		link.mu.Lock()
		total += link.accepted
		link.mu.Unlock()
	}
	return total
}

// serverLink forwards the connections of one node to one server.
type serverLink struct {
	id, address, server string

	mu       sync.Mutex
	listener *net.TCPListener // nil while new connections are refused
	conns    map[net.Conn]*linkedConn
	accepted int
}

// linkedConn is a connection of a node, and that to the server which belongs to it.
type linkedConn struct {
	node, server *net.TCPConn
	mu           sync.Mutex
	healed       chan struct{} // open while bytes to the node are held
}

func (l *serverLink) listen(t *testing.T) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // dropSegments has no effect on such a socket
	listener, err := fake.ListenAgain(config, l.address)
	if err != nil {
		t.Error(err)
		return
	}
	l.listener = listener.(*net.TCPListener)
	go l.accept(l.listener)
}

func (l *serverLink) accept(listener *net.TCPListener) {
	for {
		node, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go l.forward(node)
	}
}

func (l *serverLink) forward(node *net.TCPConn) {
	server, err := net.Dial("tcp", l.server)
	if err != nil {
		_ = node.SetLinger(0)
		_ = node.Close()
		return
	}
	c := &linkedConn{node: node, server: server.(*net.TCPConn)}
	l.mu.Lock()
	l.accepted++
	l.conns[node] = c
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.conns, node)
		l.mu.Unlock()
	}()
	go func() {
		_, _ = io.Copy(c.server, c.node)
		_ = c.server.CloseWrite()
	}()
	if errors.Is(c.copyToNode(), syscall.ECONNRESET) {
		_ = c.node.SetLinger(0) // pass the reset on
	}
	_ = c.node.Close()
	_ = c.server.Close()
}

// copyToNode passes on what the server sends, and holds it while the link is cut. It returns
// the error that ended the connection to the server.
func (c *linkedConn) copyToNode() error {
	buffer := make([]byte, 16<<10)
	for {
		count, err := c.server.Read(buffer)
		c.mu.Lock()
		healed := c.healed
		c.mu.Unlock()
		if healed != nil {
			<-healed
		}
		if _, werr := c.node.Write(buffer[:count]); werr != nil || err != nil {
			return err
		}
	}
}

func (l *serverLink) cut(t *testing.T, mode cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if mode == cutSilent && l.listener != nil {
		dropSegments(t, l.listener, true)
	}
	if (mode == cutReset || mode == cutNewOnly) && l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for _, c := range l.conns {
		switch mode {
		case cutSilent, cutOldOnly:
			c.mu.Lock()
			c.healed = make(chan struct{})
			c.mu.Unlock()
			dropSegments(t, c.node, true)
		case cutReset:
			_ = c.node.SetLinger(0)
			_ = c.node.Close()
		}
	}
}

func (l *serverLink) heal(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil {
		l.listen(t)
	} else {
		dropSegments(t, l.listener, false)
	}
	for _, c := range l.conns {
		c.mu.Lock()
		if c.healed != nil {
			dropSegments(t, c.node, false)
			close(c.healed)
			c.healed = nil
		}
		c.mu.Unlock()
	}
}

func (l *serverLink) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for _, c := range l.conns {
		c.mu.Lock()
		if c.healed != nil {
			close(c.healed)
			c.healed = nil
		}
		c.mu.Unlock()
		_ = c.node.Close()
		_ = c.server.Close()
	}
}

// dropSegments makes the kernel drop what arrives at a socket, as behind a partition: its peer
// gets no acknowledgement, and no connection if the socket listens.
func dropSegments(t *testing.T, socket syscall.Conn, drop bool) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return // closed
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		if !drop {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
			return
		}
		program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		optionErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
	hadNoFilter := !drop && errors.Is(optionErr, syscall.ENOENT)
	if err = errors.Join(err, optionErr); err != nil && !hadNoFilter && !errors.Is(err, net.ErrClosed) {
		t.Errorf("segments of a link can't be dropped, drop=%t: %v", drop, err)
	}
}

// Guards the tests that cut links: a cut must do to connections what its mode says.
func TestServerLinkIsCut(t *testing.T) {
	t.Parallel() // mostly waits
	for _, mode := range []cutMode{cutSilent, cutReset, cutNewOnly, cutOldOnly} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			server, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = server.Close() })
			go echo(server)
			links := newServerLinks(t)
			address := links.to("i-1", server.Addr().String())
			open, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			if !answers(open) {
				t.Fatal("the link does not work")
			}
			links.cut(mode)
			if got, want := answers(open), mode == cutNewOnly; got != want {
				t.Errorf("open connection works: %t", got)
			}
			_, err = net.DialTimeout("tcp", address, 300*time.Millisecond)
			if got, want := err == nil, mode == cutOldOnly; got != want {
				t.Errorf("new connection: %v", err)
			}
			links.heal()
			if fresh, err := net.DialTimeout("tcp", address, 300*time.Millisecond); err != nil || !answers(fresh) {
				t.Errorf("after the cut: %v", err)
			}
		})
	}
}

func echo(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}

// answers reports whether a byte comes back within 300 ms.
func answers(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil
}
