package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/crankridge/crankridge/src/upstream"
)

func drawCandidates(t *rapid.T) []upstream.Candidate {
	var out []upstream.Candidate
	for i := range rapid.IntRange(1, 12).Draw(t, "candidates") {
		out = append(out, upstream.Candidate{
			Name: fmt.Sprintf("e%02d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Slots: 32, PrefillTPS: 5000, StepMS: 20, SlowStartWeight: 1,
			Busy: rapid.Float64Range(0, 64).Draw(t, "busy"), QueuedTokens: rapid.Float64Range(0, 20000).Draw(t, "queued"),
			CachedBlocks: rapid.IntRange(0, 8).Draw(t, "cached"), CacheConfidence: rapid.Float64Range(0, 1).Draw(t, "belief"),
		})
	}
	return out
}

// No policy may choose a candidate to avoid, or one in a failure domain to avoid
// while others are left. The estimate policy must respect the load bound.
func TestChoiceAvoidsAndIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cands := drawCandidates(t)
		r := Request{PromptBytes: 4000, Blocks: []uint64{rapid.Uint64().Draw(t, "block")}, Avoid: map[string]bool{}, AvoidDomain: map[string]bool{"d0": rapid.Bool().Draw(t, "domain")}}
		for _, c := range cands {
			r.Avoid[c.Name] = rapid.IntRange(0, 3).Draw(t, "avoid") == 0
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		usable, preferred := 0, 0
		for _, c := range cands {
			if !r.Avoid[c.Name] {
				usable++
				if !r.AvoidDomain[c.FailureDomain] {
					preferred++
				}
			}
		}
		for _, p := range Policies {
			choice, ok := NewChooser(p).Choose(cands, r, rng)
			if ok != (usable > 0) {
				t.Fatalf("%s: ok is %v with %d candidates", p, ok, usable)
			}
			if !ok {
				continue
			}
			if r.Avoid[choice.Name] || r.AvoidDomain[choice.FailureDomain] && preferred > 0 {
				t.Fatalf("%s chose %s in %s, which must be avoided", p, choice.Name, choice.FailureDomain)
			}
			if p == Estimate && choice.Busy/choice.Slots > loadBound(withoutAvoided(cands, r)) {
				t.Fatalf("load %v above the bound %v", choice.Busy/choice.Slots, loadBound(withoutAvoided(cands, r)))
			}
		}
	})
}

// A subset has the requested size, covers all failure domains evenly, and the
// loss of one upstream replaces only that one.
func TestSubsetIsSpreadAndStable(t *testing.T) {
	is := is.New(t)
	all := map[string]string{}
	for i := range 210 {
		all[fmt.Sprintf("e%03d", i)] = fmt.Sprintf("d%d", i%7)
	}
	a := Subset(all, "node-1", 24)
	is.Equal(len(a), 24)
	domains := map[string]int{}
	for name := range a {
		domains[all[name]]++
	}
	is.Equal(len(domains), 7)
	for _, n := range domains {
		is.True(n <= 4)
	}
	for name := range a {
		delete(all, name)
		break
	}
	kept := 0
	for name := range Subset(all, "node-1", 24) {
		if a[name] {
			kept++
		}
	}
	is.Equal(kept, 23)
	uses := map[string]int{}
	for node := range 330 {
		for name := range Subset(all, fmt.Sprint(node), 24) {
			uses[name]++
		}
	}
	is.True(len(uses) == len(all)) // every upstream is used by some node
}

func TestEstimateTTFT(t *testing.T) {
	is := is.New(t)
	base := upstream.Candidate{Slots: 8, PrefillTPS: 1000, StepMS: 10}
	r := Request{PromptBytes: 5000}
	is.Equal(EstimateTTFT(base, r).Milliseconds(), int64(1010)) // 1000 tokens at 1000 per second, and one step
	cached := base
	cached.CachedBlocks, cached.CacheConfidence = 10, 1
	is.True(EstimateTTFT(cached, r) < EstimateTTFT(base, r))
	full := base
	full.Busy = 8
	is.True(EstimateTTFT(full, r) > EstimateTTFT(base, r))
}
