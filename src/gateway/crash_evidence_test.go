package gateway

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/cluster"
)

// Guards against a partition that refuses connections being taken for a crash of the server.
func TestRefusedConnectionIsCrashOnlyByNodesThatReachService(t *testing.T) {
	refused := &cluster.ProbeReply{Result: cluster.ProbeResult_REFUSED, ServiceReached: true}
	cutOff := &cluster.ProbeReply{Result: cluster.ProbeResult_REFUSED}
	reachedIt := &cluster.ProbeReply{Result: cluster.ProbeResult_REACHED}
	unknown := &cluster.ProbeReply{}
	for name, c := range map[string]struct {
		reached bool
		replies []*cluster.ProbeReply
		want    crashVerdict
	}{
		"this node reaches the service":           {true, []*cluster.ProbeReply{cutOff, unknown}, verdictCrashed},
		"another node reaches the service":        {false, []*cluster.ProbeReply{cutOff, refused}, verdictCrashed},
		"another node reaches the server":         {true, []*cluster.ProbeReply{refused, reachedIt}, verdictPartitioned},
		"no node reaches any server":              {false, []*cluster.ProbeReply{cutOff, cutOff, unknown}, verdictUnclear},
		"no other node, another server is there":  {true, nil, verdictCrashed},
		"no other node, and no server is reached": {false, nil, verdictUnclear},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(verdict(c.reached, c.replies), c.want) })
	}
}

// Guards against a crash of a service's only server that is never certain, as no node reaches
// another one.
func TestOnlyServerOfServiceMayCrash(t *testing.T) {
	is := is.New(t)
	pool, _ := newReachPool(1)
	pool.now = time.Now
	d := newCrashDetector(pool, &prober{dial: func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }})
	d.askPeers = func(context.Context, *cluster.ProbeRequest) []*cluster.ProbeReply {
		return []*cluster.ProbeReply{{Result: cluster.ProbeResult_REFUSED, ServiceReached: d.connectsToAny(nil)}}
	}
	is.Equal(d.judge(pool.byService["s"][0]), verdictCrashed)
}

// Guards against a check of a partitioned server that goes on for seconds, in which its requests
// count as possible crashes.
func TestCheckEndsOnceAnotherNodeReachesServer(t *testing.T) {
	is := is.New(t)
	pool, _ := newReachPool(2)
	pool.now = time.Now
	d := newCrashDetector(pool, &prober{dial: func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }})
	d.askPeers = func(context.Context, *cluster.ProbeRequest) []*cluster.ProbeReply {
		return []*cluster.ProbeReply{{Result: cluster.ProbeResult_REACHED}}
	}
	check := d.check(pool.byService["s"][0])
	<-check.done
	is.True(!check.crashed.Load())
	is.True(!check.unreachable.Load())
	is.True(time.Since(check.started) < time.Second)
	is.True(pool.isUnreachable(pool.byService["s"][0])) // from here
}
