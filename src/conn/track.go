package conn

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// trackedConn is a connection that remembers what net/http does not tell of a response: the bytes
// of its head, and how the connection ended.
type trackedConn struct {
	net.Conn
	writing sync.Mutex    // held during a write
	over    chan struct{} // closed when nothing more can be read

	mu          sync.Mutex
	keeping     bool        // bytes that are read are added to head
	head        []byte      // read since startExchange, until stopKeeping
	writeErr    error       // of the first write that failed
	givenUp     bool        // closed by watchUnsent
	unsentTimer *time.Timer // runs watchUnsent's check; nil before the first write
	end         connEnd
}

// unsentTimeout is for how long the other end may leave bytes unacknowledged. It is shorter than
// userTimeout: what the kernel gives up may still be delivered, if the network holds it.
const unsentTimeout = userTimeout - 500*time.Millisecond

// answerWait is for how long an answer that has arrived is read after the request could not be
// written.
const answerWait = 100 * time.Millisecond

// connEnd is how the other end has ended a connection, as far as its own end shows.
type connEnd int

const (
	endNone    connEnd = iota // it has not ended
	endOrderly                // the other end has said that it sends no more
	endReset                  // reset, or lost
	endUnclear                // the system does not tell
)

// trackConns returns dial with its connections tracked.
func trackConns(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c, over: make(chan struct{})}, nil
	}
}

// startExchange begins to keep what is read.
func (c *trackedConn) startExchange() {
	c.mu.Lock()
	c.keeping, c.head = true, nil
	c.mu.Unlock()
}

// keptBytes returns how much has been read since startExchange.
func (c *trackedConn) keptBytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.head)
}

// stopKeeping returns what has been read since startExchange: the head of the response, and at
// most a buffer more.
func (c *trackedConn) stopKeeping() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	head := c.head
	c.keeping, c.head = false, nil
	return head
}

// Read implements net.Conn.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.mu.Lock()
	if c.keeping {
		c.head = append(c.head, buffer[:count]...)
	}
	err = c.reason(err)
	c.mu.Unlock()
	if err != nil {
		c.recordEnd(err)
	}
	return count, err
}

// recordEnd records how the connection has ended when a read has failed.
func (c *trackedConn) recordEnd(readErr error) {
	end := endReset
	if errors.Is(readErr, io.EOF) {
		end = c.judgeEnd()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end == endNone {
		c.end = end
		close(c.over)
	}
}

// Write implements net.Conn. An error is returned once what has arrived is read, as net/http then
// closes the connection: a server may have answered before it had read all of the request.
func (c *trackedConn) Write(buffer []byte) (int, error) {
	count, err := c.write(buffer)
	if err == nil {
		return count, nil
	}
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-c.over:
	case <-timer.C:
	}
	return count, err
}

// Close implements net.Conn. What the other end has not received yet is dropped, with a reset:
// otherwise the kernel would go on sending it, and deliver a request after it was given up once a
// link works again.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	if c.unsentTimer != nil {
		c.unsentTimer.Stop()
	}
	c.mu.Unlock()
	if unsent, err := unsentBytes(c.Conn); err == nil && unsent > 0 {
		c.reset()
	}
	return c.Conn.Close()
}

// watchUnsent closes the connection if the other end has not acknowledged what was written last
// within unsentTimeout. The caller holds the lock.
func (c *trackedConn) watchUnsent() {
	if c.unsentTimer != nil {
		c.unsentTimer.Reset(unsentTimeout)
		return
	}
	c.unsentTimer = time.AfterFunc(unsentTimeout, func() {
		unsent, err := unsentBytes(c.Conn)
		if err != nil || unsent == 0 {
			return // closed meanwhile, or received
		}
		c.mu.Lock()
		c.givenUp = true
		c.mu.Unlock()
		_ = c.Close()
	})
}

// reason returns the error of a read or write, which names the timeout if the connection was
// closed for one. The caller holds the lock.
func (c *trackedConn) reason(err error) error {
	if c.givenUp && errors.Is(err, net.ErrClosed) {
		return &net.OpError{Op: "wait", Net: "tcp", Addr: c.RemoteAddr(), Err: syscall.ETIMEDOUT}
	}
	return err
}

// reset makes Close reset the connection.
func (c *trackedConn) reset() {
	if socket, ok := c.Conn.(*net.TCPConn); ok {
		if err := socket.SetLinger(0); err != nil {
			klog.V(1).ErrorS(err, "connection_not_reset")
		}
	}
}

func (c *trackedConn) write(buffer []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.watchUnsent()
		return count, nil
	}
	err = c.reason(err)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return count, err
}

// judgeEnd tells how the connection has ended, when the end has been read. Reads and writes share
// one pending error of the socket: after a reset a write may take it, and a read then sees the same
// as after an orderly end. The state of the socket tells these apart.
func (c *trackedConn) judgeEnd() connEnd {
	state, err := socketState(c.Conn)
	switch {
	case err != nil:
		return endUnclear
	case state != unix.BPF_TCP_CLOSE:
		return endOrderly
	}
	c.writing.Lock() // a write in progress fails now
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	reason := c.writeErr
	if reason == nil {
		reason = pendingError(c.Conn)
	}
	if errors.Is(reason, syscall.EPIPE) { // the error of a reset after an orderly end
		return endOrderly
	}
	return endReset
}

// ended returns how the connection has ended, and whether a write has failed.
func (c *trackedConn) ended() (end connEnd, writeFailed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end, c.writeErr != nil
}

var errNoSocket = errors.New("connection is no TCP socket")

// socketState returns the TCP state of a connection's socket, a BPF_TCP constant.
func socketState(c net.Conn) (state int, err error) {
	err = controlSocket(c, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			state = int(info.State)
		}
		return err
	})
	return state, err
}

// unsentBytes returns how many bytes the other end of a connection has not acknowledged.
func unsentBytes(c net.Conn) (count int, err error) {
	err = controlSocket(c, func(fd int) error {
		var err error
		count, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ)
		return err
	})
	return count, err
}

// pendingError returns the error that is pending at a connection's socket, and clears it.
func pendingError(c net.Conn) (pending error) {
	err := controlSocket(c, func(fd int) error {
		code, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			pending = syscall.Errno(code)
		}
		return err
	})
	if err != nil {
		return err
	}
	return pending
}

func controlSocket(c net.Conn, do func(fd int) error) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var doErr error
	if err := raw.Control(func(fd uintptr) { doErr = do(int(fd)) }); err != nil {
		return err
	}
	return doErr
}
