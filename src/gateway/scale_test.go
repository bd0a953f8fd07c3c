package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a service without demand that keeps all its servers for good.
func TestServiceWithoutDemandIsScaledDown(t *testing.T) {
	is := is.New(t)
	s := newScaler()
	start := time.Unix(1000, 0)
	is.Equal(s.retainedServers("s", 0, 8, start), 8)
	is.Equal(s.retainedServers("s", 0, 6, start.Add(idleRetention)), 8) // one may have crashed
	is.Equal(s.retainedServers("s", 0, 8, start.Add(idleRetention+time.Second)), 0)
	later := start.Add(time.Hour)
	is.Equal(s.retainedServers("s", 3, 2, later), 2) // demand is measured too low at first
	is.Equal(s.retainedServers("s", 3, 2, later.Add(time.Second)), 0)
	is.Equal(s.retainedServers("s", 0, 4, later.Add(2*time.Second)), 4) // idle again
}
