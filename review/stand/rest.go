package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Case rest: each user opens a connection, sends one request and lets the connection rest, for longer
// than IdleTimeoutMs. In bursts many users come at once.
const (
	restLength    = 108 * time.Second
	restRate      = 32.0 // new users a second at each machine
	restWork      = 20 * time.Millisecond
	restDeadline  = 3 * time.Second
	restContact   = 3 * time.Second // ContactTimeoutMs
	restTrying    = 7               // clients that must have tried
	restHolds     = 2 * time.Second // TtlS
	burstFactor   = 1.7
	burstTime     = 3 * time.Second
	burstEvery    = 5 * time.Second
	restDialLimit = time.Second // that a new connection is given

	restDescriptors = 10000 // that the clients need
)

func playRest(l *lab) (broken bool, err error) {
	if err := needDescriptors(restDescriptors); err != nil {
		return false, err
	}
	l.putConfig([]route{{"confirm", "unsafe", 3000, 1}}, nil)
	for _, id := range []string{"s-1", "s-2"} {
		if _, err := l.addServer(id, "zone-a", func(string) time.Duration { return restWork }); err != nil {
			return false, err
		}
	}
	if err := l.addGateways(2, 2); err != nil {
		return false, err
	}
	for _, g := range l.gateways {
		g.limits = "ulimit -n 4100" // Limits.FileDescriptors
	}
	if err := l.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(restLength)
	results := make(chan bool, len(l.gateways))
	for _, g := range l.gateways {
		go func() { results <- l.playUsers(g, end) }()
	}
	for range l.gateways {
		broken = <-results || broken
	}
	return broken, nil
}

// needDescriptors returns an error if this process may not open as many descriptors.
func needDescriptors(count uint64) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < count {
		return fmt.Errorf("the clients need %d descriptors, and this process may open %d", count, limit.Cur)
	}
	return nil
}

// users is what one machine did for its users.
type users struct {
	mu      sync.Mutex
	conns   []net.Conn
	served  int
	closed  int       // connections that the machine has closed after a rest
	takenAt time.Time // when the machine answered on a new connection last
	trying  int       // users that have tried since
	saysAt  time.Time // when the machine said last that it is ready
	broken  bool
}

// playUsers sends users to a machine until the given time, and reports whether it said that it was
// ready and took no new connection for restContact while restTrying users tried.
func (l *lab) playUsers(g *gateway, end time.Time) (broken bool) {
	u := &users{takenAt: time.Now()}
	stop := make(chan struct{})
	go u.askReady(g, stop)
	var group sync.WaitGroup
	began, burst := time.Now(), false
	for time.Now().Before(end) {
		rate := restRate
		now := l.trouble && time.Since(began)%burstEvery >= burstEvery-burstTime
		if now != burst {
			burst = now
			l.logf("many users come at once to %s: %t", g.name, burst)
		}
		if burst {
			rate *= burstFactor
		}
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
		group.Go(func() { u.visit(l, g) })
	}
	group.Wait()
	close(stop)
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
	l.sayf("%s: %d users served, %d of their connections closed by the machine within the run", g.name, u.served, u.closed)
	return u.broken
}

// askReady asks the machine once a second whether it is ready, on a connection that it keeps.
func (u *users) askReady(g *gateway, stop chan struct{}) {
	asker := &http.Client{Timeout: time.Second}
	for {
		if resp, err := asker.Get("http://" + g.ready + "/-/readiness"); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				u.mu.Lock()
				u.saysAt = time.Now()
				u.mu.Unlock()
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// visit is one user: a new connection, one request, a rest.
func (u *users) visit(l *lab, g *gateway) {
	id, triedAt := l.id(), time.Now()
	c, err := net.DialTimeout("tcp", g.front, restDialLimit)
	status := 0
	if err == nil {
		status, err = ask(c, id)
	}
	if err != nil {
		l.logf("the client's %s to %s: %v", id, g.name, err)
		if c != nil {
			_ = c.Close()
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err == nil {
		l.logf("the client's %s to %s: status %d", id, g.name, status)
		u.served++
		u.conns = append(u.conns, c)
		u.takenAt, u.trying = time.Now(), 0
		go u.rest(c)
		return
	}
	if triedAt.Before(u.takenAt) {
		return
	}
	u.trying++
	silent := time.Since(u.takenAt)
	if u.broken || silent < restContact || u.trying < restTrying || time.Since(u.saysAt) > 2*time.Second {
		return
	}
	u.broken = true
	l.sayf("RECOVER: %s has taken no new connection for %.3f s, while %d clients tried; it said %.3f s ago that it is ready; %d connections of users rest there",
		g.name, silent.Seconds(), u.trying, time.Since(u.saysAt).Seconds(), len(u.conns)-u.closed)
}

// ask sends one request and reads its answer.
func ask(c net.Conn, id string) (status int, err error) {
	if err := c.SetDeadline(time.Now().Add(restDeadline)); err != nil {
		return 0, err
	}
	const body = "chair 4"
	if _, err := fmt.Fprintf(c, "POST /confirm/chair HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		host, id, restDeadline.Milliseconds(), apiKey, len(body), body); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// rest waits until the machine closes a connection.
func (u *users) rest(c net.Conn) {
	if err := c.SetDeadline(time.Time{}); err != nil {
		return
	}
	if _, err := c.Read(make([]byte, 1)); err == io.EOF {
		_ = c.Close()
		u.mu.Lock()
		u.closed++
		u.mu.Unlock()
	}
}
