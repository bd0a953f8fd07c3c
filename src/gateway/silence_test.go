package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSilenceOfOnePeerIsItsOwn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := &silence{}
	is.True(!s.general("a", 8, now))
	is.True(!s.general("a", 8, now.Add(time.Second)))                   // frozen twice
	is.True(!s.general("b", 8, now.Add(time.Second+2*silenceWithin)))   // long after
	is.True(s.general("c", 8, now.Add(2*time.Second+2*silenceWithin)))  // soon after
	is.True(!s.general("d", 8, now.Add(2*time.Second+2*silenceWithin))) // begins anew
	is.True((&silence{}).general("a", 1, now))                          // there is no other to ask
}
