package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// clientConns closes the connections of clients that have rested for too long: each takes one of the
// descriptors that the process may have.
type clientConns struct {
	idleTimeout func() time.Duration // in force now

	mu      sync.Mutex
	resting map[net.Conn]*time.Timer // by connection; it closes the connection
}

func newClientConns(idleTimeout func() time.Duration) *clientConns {
	return &clientConns{idleTimeout: idleTimeout, resting: map[net.Conn]*time.Timer{}}
}

// onState is the ConnState hook of the server.
func (c *clientConns) onState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.resting[conn]; timer != nil {
		timer.Stop()
		delete(c.resting, conn)
	}
	if state == http.StateNew || state == http.StateIdle {
		c.resting[conn] = time.AfterFunc(c.idleTimeout(), func() { c.closeResting(conn) })
	}
}

// closeResting closes a connection unless a request has begun on it meanwhile.
func (c *clientConns) closeResting(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.resting[conn] == nil {
		return
	}
	delete(c.resting, conn)
	_ = conn.Close()
}

// clientIdleTimeout returns for how long a connection of a client may rest.
func (n *Node) clientIdleTimeout() time.Duration {
	if t := n.table.Load(); t != nil && t.Config.Limits.IdleTimeout > 0 {
		return t.Config.Limits.IdleTimeout
	}
	return defaultClientIdleTimeout
}
