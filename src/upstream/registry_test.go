package upstream

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/engine"
)

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newTestRegistry() (*Registry, *clock, *[]string) {
	c := &clock{time.Unix(1000, 0)}
	var leaving []string
	r := NewRegistry(c.now, func(name string, _ time.Time) { leaving = append(leaving, name) })
	list := DomainUpstreams{}
	for _, name := range []string{"a", "b"} {
		list.Upstreams = append(list.Upstreams, Published{Name: name, Addr: name, Kind: KindEngine, FailureDomain: "d-" + name, Slots: 8, PrefillTPS: 1000, Models: []engine.LoadedModel{{Name: "m", Version: "1"}}})
	}
	r.Replace([]DomainUpstreams{list})
	return r, c, &leaving
}

func names(cands []Candidate) (out []string) {
	for _, c := range cands {
		out = append(out, c.Name)
	}
	return out
}

func TestLeavingIsReportedOnceAndPermanent(t *testing.T) {
	is := is.New(t)
	r, c, leaving := newTestRegistry()
	r.MarkLeaving("a", c.at.Add(time.Minute))
	r.MarkLeaving("a", c.at.Add(time.Minute))
	is.Equal(*leaving, []string{"a"})
	is.Equal(names(r.Candidates("m", nil)), []string{"b"})
	closed, _ := r.Leaving("a")
	<-closed
	r.RecordSuccess("a")
	is.Equal(names(r.Candidates("m", nil)), []string{"b"})
}

func TestSlowStartAfterEjection(t *testing.T) {
	is := is.New(t)
	r, c, _ := newTestRegistry()
	r.RecordFailure("a", false)
	is.Equal(len(r.Candidates("m", nil)), 2) // below ejectThreshold
	r.RecordFailure("a", false)
	is.Equal(names(r.Candidates("m", nil)), []string{"b"})
	c.at = c.at.Add(time.Second)
	candidates := r.Candidates("m", nil)
	is.Equal(len(candidates), 2)
	is.True(candidates[0].SlowStartWeight < 0.5)
	for range slowStartSuccesses {
		r.RecordSuccess("a")
	}
	is.Equal(r.Candidates("m", nil)[0].SlowStartWeight, 1.0)
	r.RecordFailure("a", true)
	r.RecordFailure("b", true)
	is.Equal(len(r.Candidates("m", nil)), 2) // if all are ejected, the ejections are ignored
}

func TestLoadAddsOwnRequestsToReport(t *testing.T) {
	is := is.New(t)
	r, c, _ := newTestRegistry()
	r.UpdateLoad("a", c.at, 3, 1, 500, 10)
	end := r.Begin("a", 200, nil) // at the same time as the report, so included in it
	c.at = c.at.Add(100 * time.Millisecond)
	r.Begin("a", 300, nil)
	got := r.Candidates("m", nil)[0]
	is.Equal(got.Busy, 5.0)           // 4 reported, 1 sent since
	is.Equal(got.QueuedTokens, 700.0) // 500 and 300, less 100 prefilled
	end()
	is.Equal(r.Candidates("m", nil)[0].Busy, 4.0)               // the reported one has ended since
	r.UpdateLoad("a", c.at.Add(-time.Second), 90, 90, 9000, 10) // an older report is dropped
	is.True(r.Candidates("m", nil)[0].Busy < 10)
}

// Starts and ends of this node's requests are scaled up by the load of the other nodes.
func TestLoadScalesWithPeerLoadFactor(t *testing.T) {
	is := is.New(t)
	r, c, _ := newTestRegistry()
	r.SetPeerLoadFactor(2)
	end := r.Begin("a", 0, nil)
	c.at = c.at.Add(time.Millisecond)
	r.UpdateLoad("a", c.at, 6, 0, 0, 10)
	c.at = c.at.Add(100 * time.Millisecond)
	end()
	is.Equal(r.Candidates("m", nil)[0].Busy, 3.0) // one own request ended, and two of other nodes
	r.Begin("a", 0, nil)
	is.Equal(r.Candidates("m", nil)[0].Busy, 6.0) // one own request started, and two of other nodes
}

func TestCacheConfidenceDecaysAndIsCorrected(t *testing.T) {
	is := is.New(t)
	r, c, _ := newTestRegistry()
	blocks := []uint64{1, 2, 3}
	r.Begin("a", 10, blocks)
	is.Equal(r.Candidates("m", blocks)[0].CachedBlocks, 3)
	c.at = c.at.Add(cacheHalfLife)
	is.Equal(r.Candidates("m", blocks)[0].CacheConfidence, 0.5)
	r.ApplyCacheEvents("a", 9, []engine.CacheEvent{{Seq: 9, Block: 2, Evicted: true}})
	is.Equal(r.Candidates("m", blocks)[0].CachedBlocks, 1) // a prefix ends at its first gap
}

// Guards against an upstream's leaving being told twice: by many at once, before it is
// published and when it is.
func TestLeavingIsToldOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var told atomic.Int64
	r := NewRegistry(func() time.Time { return now }, func(string, time.Time) { told.Add(1) })
	deadline := now.Add(time.Minute)
	markByMany := func() {
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() { r.MarkLeaving("a", deadline) })
		}
		group.Wait()
	}
	markByMany()
	is.Equal(told.Load(), int64(1))
	r.Replace([]DomainUpstreams{{Upstreams: []Published{{Name: "a", Addr: "x", LeavingMS: deadline.UnixMilli()}}}})
	markByMany()
	is.Equal(told.Load(), int64(1))
}
