package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/traffic"
)

// Issue 19: what was believed of a server outlived it when it started again under its id.
func TestUpstreamBornAgainBeginsAnew(t *testing.T) {
	is := is.New(t)
	f := newFleet(time.Now)
	entry := traffic.Upstream{ID: "i-1", Service: "s", Address: "10.0.0.1:1", StartedMS: 1}
	f.set([]traffic.Upstream{entry})
	before := f.byService["s"][0]
	is.True(f.leave(before))
	f.begin(before, 10)
	f.failed(before, true)
	f.set([]traffic.Upstream{entry})
	is.Equal(len(f.candidates("s", nil)), 0) // the same life does not come back
	entry.StartedMS = 2
	is.Equal(f.set([]traffic.Upstream{entry}), []string{"i-1"})
	is.True(before.life.Err() != nil) // what it was sent is not answered any more
	got := f.candidates("s", nil)
	is.Equal(len(got), 1)
	is.Equal(got[0].requests, 0)
	is.Equal(got[0].unread, int64(0))
	is.Equal(got[0].failRate, 0.0)
	f.end(before)
	is.True(!f.leave(before)) // says nothing of the new life
	is.Equal(f.candidates("s", nil)[0].requests, 0)
}

func TestGoneUpstreamServesOnWhatItWasSent(t *testing.T) {
	is := is.New(t)
	f := newFleet(time.Now)
	f.set([]traffic.Upstream{{ID: "i-1", Service: "s", Address: "10.0.0.1:1"}})
	gone := f.byService["s"][0]
	is.Equal(f.set(nil), []string{"i-1"})
	is.NoErr(gone.life.Err()) // some servers leave the list first and answer for a while
}
