package gateway

import (
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
