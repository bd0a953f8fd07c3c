package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/engine"
)

type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func registry() (*Registry, *clock, *[]string) {
	c := &clock{time.Unix(1000, 0)}
	var told []string
	r := NewRegistry(c.now, func(name string, _ time.Time) { told = append(told, name) })
	list := DomainUpstreams{}
	for _, name := range []string{"a", "b"} {
		list.Upstreams = append(list.Upstreams, Published{Name: name, Addr: name, Kind: KindEngine, FailureDomain: "d-" + name, Slots: 8, PrefillTPS: 1000, Models: []engine.LoadedModel{{Name: "m", Version: "1"}}})
	}
	r.Replace([]DomainUpstreams{list})
	return r, c, &told
}

func names(cands []Candidate) (out []string) {
	for _, c := range cands {
		out = append(out, c.Name)
	}
	return out
}

func TestLeavingIsToldOnceAndNeverComesBack(t *testing.T) {
	is := is.New(t)
	r, c, told := registry()
	r.MarkLeaving("a", c.at.Add(time.Minute))
	r.MarkLeaving("a", c.at.Add(time.Minute))
	is.Equal(*told, []string{"a"})
	is.Equal(names(r.Candidates("m", nil)), []string{"b"})
	left, _ := r.Leaving("a")
	<-left
	r.RecordSuccess("a")
	is.Equal(names(r.Candidates("m", nil)), []string{"b"})
}

func TestEjectionEndsSlowly(t *testing.T) {
	is := is.New(t)
	r, c, _ := registry()
	r.RecordFailure("a", false)
	is.Equal(len(r.Candidates("m", nil)), 2) // one failure is no pattern
	r.RecordFailure("a", false)
	is.Equal(names(r.Candidates("m", nil)), []string{"b"})
	c.at = c.at.Add(time.Second)
	back := r.Candidates("m", nil)
	is.Equal(len(back), 2)
	is.True(back[0].SlowStartWeight < 0.5)
	for range returnSteps {
		r.RecordSuccess("a")
	}
	is.Equal(r.Candidates("m", nil)[0].SlowStartWeight, 1.0)
	r.RecordFailure("a", true)
	r.RecordFailure("b", true)
	is.Equal(len(r.Candidates("m", nil)), 2) // never below a floor: all failing means trying all
}

func TestLoadIsReportPlusOwnSends(t *testing.T) {
	is := is.New(t)
	r, c, _ := registry()
	r.UpdateLoad("a", c.at, 3, 1, 500, 10)
	end := r.Begin("a", 200, nil) // at the very time of the report
	c.at = c.at.Add(100 * time.Millisecond)
	r.Begin("a", 300, nil)
	got := r.Candidates("m", nil)[0]
	is.Equal(got.Busy, 5.0)           // 4 reported, 1 sent since
	is.Equal(got.QueuedTokens, 700.0) // 500 and 300, less 100 worked off
	end()
	is.Equal(r.Candidates("m", nil)[0].Busy, 4.0)               // the reported one has ended since
	r.UpdateLoad("a", c.at.Add(-time.Second), 90, 90, 9000, 10) // an older report is dropped
	is.True(r.Candidates("m", nil)[0].Busy < 10)
}

// What others do is taken to be in proportion, starts and ends alike.
func TestLoadCountsOthersInProportion(t *testing.T) {
	is := is.New(t)
	r, c, _ := registry()
	r.SetPeerLoadFactor(2)
	end := r.Begin("a", 0, nil)
	c.at = c.at.Add(time.Millisecond)
	r.UpdateLoad("a", c.at, 6, 0, 0, 10)
	c.at = c.at.Add(100 * time.Millisecond)
	end()
	is.Equal(r.Candidates("m", nil)[0].Busy, 3.0) // one of its own ended, and two of others
	r.Begin("a", 0, nil)
	is.Equal(r.Candidates("m", nil)[0].Busy, 6.0) // the place is taken, by each
}

func TestCacheBeliefDecaysAndIsCorrected(t *testing.T) {
	is := is.New(t)
	r, c, _ := registry()
	blocks := []uint64{1, 2, 3}
	r.Begin("a", 10, blocks)
	is.Equal(r.Candidates("m", blocks)[0].CachedBlocks, 3)
	c.at = c.at.Add(beliefHalfLife)
	is.Equal(r.Candidates("m", blocks)[0].CacheConfidence, 0.5)
	r.ApplyCacheEvents("a", 9, []engine.CacheEvent{{Seq: 9, Block: 2, Evicted: true}})
	is.Equal(r.Candidates("m", blocks)[0].CachedBlocks, 1) // a prefix ends at its first gap
}
