package upstream

import (
	"math"
	"slices"
	"time"

	"github.com/crankridge/crankridge/src/engine"
)

const (
	defaultStepMS  = 20
	defaultPrefill = 5000
	defaultSlots   = 32
	rateWindow     = 2 * time.Second // over which a node's own rate is taken
	leastDrain     = 0.1             // of the prefill rate, whatever the others send
)

// Candidate is one upstream as a route sees it at one moment.
type Candidate struct {
	Name            string
	Addr            string
	FailureDomain   string
	Region          string
	Version         string
	Slots           float64
	Busy            float64 // streams running or waiting, own sends since the report counted in
	OwnRequests     int     // of this node, in progress
	QueuedTokens    float64 // prompt tokens ahead
	PrefillTPS      float64
	StepMS          float64
	CachedBlocks    int     // of the request's blocks, believed held
	CacheConfidence float64 // 0 to 1, decaying with the belief's age
	SlowStartWeight float64 // 0 to 1 while it returns from an ejection
	KVTransferTPS   float64
}

// Candidates returns the upstreams that may take a new request for a model
// (or adapter): loaded there, not leaving, not ejected. blocks are the
// request's prefix blocks.
func (r *Registry) Candidates(model string, blocks []uint64) []Candidate {
	return r.gather(blocks, func(u *Upstream) (string, bool) {
		i := slices.IndexFunc(u.Models, func(m engine.LoadedModel) bool { return m.Name == model })
		if i < 0 {
			return "", false
		}
		return u.Models[i].Version, true
	})
}

// ServiceCandidates returns the upstreams that may take a call of a service.
func (r *Registry) ServiceCandidates(service string) []Candidate {
	return r.gather(nil, func(u *Upstream) (string, bool) {
		return "", u.Kind == KindService && u.Service == service
	})
}

func (r *Registry) gather(blocks []uint64, fits func(*Upstream) (string, bool)) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out, ejected []Candidate
	for _, u := range r.all {
		version, ok := fits(u)
		if !ok || u.isLeaving() {
			continue
		}
		c := u.candidate(now, blocks, r.others)
		c.Version = version
		if now.Before(u.ejected) {
			ejected = append(ejected, c)
			continue
		}
		out = append(out, c)
	}
	// When all are ejected the fault is likelier between here and there:
	// trying one is better than serving nobody.
	if len(out) == 0 {
		out = ejected
	}
	slices.SortFunc(out, func(a, b Candidate) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

func (u *Upstream) candidate(now time.Time, blocks []uint64, others float64) Candidate {
	c := Candidate{
		Name: u.Name, Addr: u.Addr, FailureDomain: u.FailureDomain, Region: u.Region, OwnRequests: u.inflight, KVTransferTPS: u.KVTransferTPS,
		Slots: orDefault(float64(u.Slots), defaultSlots), StepMS: orDefault(u.step, defaultStepMS),
		PrefillTPS: orDefault(u.PrefillTPS, defaultPrefill), SlowStartWeight: float64(u.credit+1) / (returnSteps + 1),
	}
	if u.prefill > 0 {
		c.PrefillTPS = u.prefill
	}
	c.Busy, c.QueuedTokens = u.load(now, c.PrefillTPS, others)
	c.CachedBlocks, c.CacheConfidence = u.believed(now, blocks)
	return c
}

// load is the report brought forward to now. What this node sent and what
// ended since counts as it happened; what other nodes did is taken to be the
// same in proportion, so that nodes which see the same free slots do not all
// fill them. Prompts are worked off at the measured rate.
func (u *Upstream) load(now time.Time, prefill float64, others float64) (busy, queued float64) {
	u.sends = slices.DeleteFunc(u.sends, func(s send) bool {
		reported := !s.ended.IsZero() && !s.ended.After(u.reportAt)
		return reported && now.Sub(s.at) > rateWindow || now.Sub(s.at) > sendsKept
	})
	busy, queued = u.running+u.waiting, u.queued
	change := 0.0
	at, drain := u.reportAt, u.drain(now, prefill, others)
	for _, s := range u.sends {
		reported := !s.at.After(u.reportAt)
		switch {
		case reported && s.ended.After(u.reportAt):
			change--
		case !reported && s.ended.IsZero():
			change++
		}
		if !reported {
			queued = max(queued-s.at.Sub(at).Seconds()*drain, 0) + s.tokens
			at = s.at
		}
	}
	queued -= now.Sub(at).Seconds() * drain
	busy += change * (1 + others)
	return max(busy, float64(u.inflight)), max(queued, 0)
}

// drain is the rate at which the queue known here gets shorter: the prefill
// rate, less what the other nodes send meanwhile.
func (u *Upstream) drain(now time.Time, prefill float64, others float64) float64 {
	own := 0.0
	for _, s := range u.sends {
		if now.Sub(s.at) < rateWindow {
			own += s.tokens
		}
	}
	return max(prefill-own/rateWindow.Seconds()*others, prefill*leastDrain)
}

// believed is how many leading blocks the upstream is believed to hold, and
// how far the belief in the last of them still holds.
func (u *Upstream) believed(now time.Time, blocks []uint64) (int, float64) {
	n, belief := 0, 1.0
	for _, b := range blocks {
		at, ok := u.beliefs[b]
		if !ok {
			break
		}
		n++
		belief = math.Exp2(-now.Sub(at).Seconds() / beliefHalfLife.Seconds())
	}
	return n, belief
}

func orDefault(v, d float64) float64 {
	if v > 0 {
		return v
	}
	return d
}

// Dump is an upstream as the state dump shows it.
type Dump struct {
	Published
	Leaving   bool    `json:"leaving"`
	Ejected   bool    `json:"ejected"`
	Inflight  int     `json:"inflight"`
	Busy      float64 `json:"busy"`
	Queued    float64 `json:"queued_tokens"`
	StepMS    float64 `json:"step_ms"`
	Prefill   float64 `json:"prefill_tps"`
	Beliefs   int     `json:"cache_beliefs"`
	ReportAge float64 `json:"report_age_s"`
}

// Dumps returns all upstreams for the state dump.
func (r *Registry) Dumps() []Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Dump
	for _, u := range r.all {
		d := Dump{Published: u.Published, Leaving: u.isLeaving(), Ejected: now.Before(u.ejected), Inflight: u.inflight,
			StepMS: u.step, Prefill: u.prefill, Beliefs: len(u.beliefs), ReportAge: now.Sub(u.reportAt).Seconds()}
		if u.reportAt.IsZero() {
			d.ReportAge = -1
		}
		d.Busy, d.Queued = u.load(now, orDefault(u.prefill, defaultPrefill), r.others)
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Dump) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
