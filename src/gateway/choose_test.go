package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/traffic"
)

func engines(ids ...string) []traffic.Upstream {
	var out []traffic.Upstream
	for _, id := range ids {
		out = append(out, traffic.Upstream{ID: id, Service: "llm", Slots: 64, FailureDomain: "d1"})
	}
	return out
}

// aPrompt has shared parts that some engine is the home of.
func aPrompt() prompt {
	return prompt{
		parts: []part{{"shared", 10000}, {"own", 1000}}, tokens: 11000,
		holds: func(string, string) bool { return false },
	}
}

func TestPromptsGoToTheHomeOfTheirSharedPart(t *testing.T) {
	is := is.New(t)
	f := newFleet(time.Now)
	f.set(engines("a", "b", "c", "d"))
	rng := rand.New(rand.NewPCG(1, 2))
	first, unread, ok := chooseEngine(f.candidates("llm", nil), aPrompt(), "d1", rng)
	is.True(ok)
	is.Equal(unread, int64(1000)) // the home is taken to keep what is shared
	for range 20 {
		again, _, _ := chooseEngine(f.candidates("llm", nil), aPrompt(), "d1", rng)
		is.Equal(again.id, first.id)
	}
}

func TestFailingServersAreEjectedForAWhile(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := newFleet(func() time.Time { return now })
	f.set(engines("a", "b"))
	bad := f.upstreams["a"]
	for range failuresToEject {
		f.failed(bad, false)
	}
	list := f.candidates("llm", nil)
	is.Equal(len(list), 1)
	is.Equal(list[0].id, "b")
	list = f.candidates("llm", map[string]bool{"b": true})
	is.Equal(len(list), 1) // better one that failed than none
	now = now.Add(ejectMost)
	is.Equal(len(f.candidates("llm", nil)), 2)
}

func TestLoadsThatAreNotToldOneByOneAreTheMean(t *testing.T) {
	is := is.New(t)
	f := newFleet(time.Now)
	f.set(engines("a", "b"))
	f.setElsewhere(map[string]remoteLoad{"a": {requests: 9, unread: 5000}}, remoteLoad{requests: 2, unread: 100})
	list := f.candidates("llm", nil)
	is.Equal(list[0].requests, 9)
	is.Equal(list[1].requests, 2)
	is.Equal(list[1].unread, int64(100))
}
