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

// samplePrompt returns a prompt with one shared part and nothing cached.
func samplePrompt() prompt {
	return prompt{
		parts: []promptPart{{"shared", 10000}, {"own", 1000}}, tokens: 11000,
		mayHold: func(string, string) bool { return false },
	}
}

func TestChooseEnginePrefersOwnerOfSharedPart(t *testing.T) {
	is := is.New(t)
	pool := newUpstreamPool(time.Now)
	pool.update(engines("a", "b", "c", "d"))
	rng := rand.New(rand.NewPCG(1, 2))
	first, uncached, ok := chooseEngine(pool.candidates("llm", nil), samplePrompt(), "d1", rng)
	is.True(ok)
	is.Equal(uncached, int64(1000)) // the owner is assumed to have the shared part cached
	for range 20 {
		again, _, _ := chooseEngine(pool.candidates("llm", nil), samplePrompt(), "d1", rng)
		is.Equal(again.id, first.id)
	}
}

func TestFailingServerIsEjectedTemporarily(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	pool := newUpstreamPool(func() time.Time { return now })
	pool.update(engines("a", "b"))
	failing := pool.byID["a"]
	for range failuresToEject {
		pool.recordFailure(failing, false)
	}
	list := pool.candidates("llm", nil)
	is.Equal(len(list), 1)
	is.Equal(list[0].id, "b")
	list = pool.candidates("llm", map[string]bool{"b": true})
	is.Equal(len(list), 1) // an ejected server is used when there is no other
	now = now.Add(maxEjection)
	is.Equal(len(pool.candidates("llm", nil)), 2)
}

func TestUnlistedRemoteLoadUsesMean(t *testing.T) {
	is := is.New(t)
	pool := newUpstreamPool(time.Now)
	pool.update(engines("a", "b"))
	pool.setRemoteLoads(map[string]serverLoad{"a": {requests: 9, pendingPrefill: 5000}}, serverLoad{requests: 2, pendingPrefill: 100})
	list := pool.candidates("llm", nil)
	is.Equal(list[0].requests, 9)
	is.Equal(list[1].requests, 2)
	is.Equal(list[1].pendingPrefill, int64(100))
}
