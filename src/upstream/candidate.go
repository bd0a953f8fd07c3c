package upstream

import (
	"math"
	"slices"
	"time"

	"github.com/crankridge/crankridge/src/engine"
)

const (
	defaultStepMS     = 20
	defaultPrefillTPS = 5000 // tokens per second
	defaultSlots      = 32
	sendRateWindow    = 2 * time.Second // window over which this node's send rate is averaged
	minDrainFraction  = 0.1             // lower bound of the queue drain rate, as a fraction of the prefill rate
)

// Candidate is a snapshot of one upstream for a routing decision.
type Candidate struct {
	Name            string
	Addr            string
	FailureDomain   string
	Region          string
	Version         string
	Slots           float64
	Busy            float64 // estimated streams running or waiting
	OwnRequests     int     // requests of this node in progress
	QueuedTokens    float64 // estimated prompt tokens not yet prefilled
	PrefillTPS      float64 // prefill rate in tokens per second
	StepMS          float64 // time between tokens of a stream, ms
	CachedBlocks    int     // leading blocks of the request expected in the prefix cache
	CacheConfidence float64 // 0 to 1, decays with the time since the last of them was seen
	SlowStartWeight float64 // 0 to 1, below 1 after an ejection
	KVTransferTPS   float64 // transfer rate of KV caches in tokens per second
}

// Candidates returns the upstreams that have a model or adapter loaded and are
// not leaving. Ejected ones are left out unless all are ejected. blocks are the
// request's prefix blocks.
func (r *Registry) Candidates(model string, blocks []uint64) []Candidate {
	return r.selectCandidates(blocks, func(u *Upstream) (string, bool) {
		i := slices.IndexFunc(u.Models, func(m engine.LoadedModel) bool { return m.Name == model })
		if i < 0 {
			return "", false
		}
		return u.Models[i].Version, true
	})
}

// ServiceCandidates returns the upstreams of a service that are not leaving.
// Ejected ones are left out unless all are ejected.
func (r *Registry) ServiceCandidates(service string) []Candidate {
	return r.selectCandidates(nil, func(u *Upstream) (string, bool) {
		return "", u.Kind == KindService && u.Service == service
	})
}

func (r *Registry) selectCandidates(blocks []uint64, match func(*Upstream) (string, bool)) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out, ejected []Candidate
	for _, u := range r.upstreams {
		version, ok := match(u)
		if !ok || u.isLeaving() || now.Before(u.restUntil) {
			continue
		}
		c := u.candidate(now, blocks, r.peerLoadFactor)
		c.Version = version
		if now.Before(u.ejectedUntil) {
			ejected = append(ejected, c)
			continue
		}
		out = append(out, c)
	}
	// If all are ejected, the fault is probably in the network and not in the
	// upstreams, so the ejections are ignored.
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

func (u *Upstream) candidate(now time.Time, blocks []uint64, peerLoadFactor float64) Candidate {
	c := Candidate{
		Name: u.Name, Addr: u.Addr, FailureDomain: u.FailureDomain, Region: u.Region, OwnRequests: u.inflight, KVTransferTPS: u.KVTransferTPS,
		Slots: orDefault(float64(u.Slots), defaultSlots), StepMS: orDefault(u.stepMS, defaultStepMS),
		PrefillTPS: orDefault(u.PrefillTPS, defaultPrefillTPS), SlowStartWeight: float64(u.slowStartProgress+1) / (slowStartSuccesses + 1),
	}
	if u.measuredPrefillTPS > 0 {
		c.PrefillTPS = u.measuredPrefillTPS
	}
	c.Busy, c.QueuedTokens = u.estimateLoad(now, c.PrefillTPS, peerLoadFactor)
	c.CachedBlocks, c.CacheConfidence = u.cachedPrefix(now, blocks)
	return c
}

// estimateLoad extrapolates the last load report to now. It adds the requests
// this node has started since and subtracts those that ended, scaled up by the
// load of the other nodes, so that nodes which see the same free slots do not
// all fill them. The prompt queue drains at queueDrainRate.
func (u *Upstream) estimateLoad(now time.Time, prefillTPS float64, peerLoadFactor float64) (busy, queuedTokens float64) {
	u.sent = slices.DeleteFunc(u.sent, func(s sentRequest) bool {
		endReported := !s.endedAt.IsZero() && !s.endedAt.After(u.reportAt)
		return endReported && now.Sub(s.at) > sendRateWindow || now.Sub(s.at) > sentRetention
	})
	busy, queuedTokens = u.running+u.waiting, u.queuedTokens
	change := 0.0
	at, queueDrainRate := u.reportAt, u.queueDrainRate(now, prefillTPS, peerLoadFactor)
	for _, s := range u.sent {
		startReported := !s.at.After(u.reportAt)
		switch {
		case startReported && s.endedAt.After(u.reportAt):
			change--
		case !startReported && s.endedAt.IsZero():
			change++
		}
		if !startReported {
			queuedTokens = max(queuedTokens-s.at.Sub(at).Seconds()*queueDrainRate, 0) + s.tokens
			at = s.at
		}
	}
	queuedTokens -= now.Sub(at).Seconds() * queueDrainRate
	busy += change * (1 + peerLoadFactor)
	return max(busy, float64(u.inflight)), max(queuedTokens, 0)
}

// queueDrainRate returns the tokens per second by which the prompt queue
// shrinks: the prefill rate less the estimated send rate of the other nodes.
func (u *Upstream) queueDrainRate(now time.Time, prefillTPS float64, peerLoadFactor float64) float64 {
	ownTokens := 0.0
	for _, s := range u.sent {
		if now.Sub(s.at) < sendRateWindow {
			ownTokens += s.tokens
		}
	}
	return max(prefillTPS-ownTokens/sendRateWindow.Seconds()*peerLoadFactor, prefillTPS*minDrainFraction)
}

// cachedPrefix returns how many leading blocks the upstream is expected to
// have cached, and the confidence in the last of them.
func (u *Upstream) cachedPrefix(now time.Time, blocks []uint64) (int, float64) {
	n, confidence := 0, 1.0
	for _, b := range blocks {
		at, ok := u.cachedBlocks[b]
		if !ok {
			break
		}
		n++
		confidence = math.Exp2(-now.Sub(at).Seconds() / cacheHalfLife.Seconds())
	}
	return n, confidence
}

func orDefault(v, d float64) float64 {
	if v > 0 {
		return v
	}
	return d
}

// Dump is the state of an upstream for diagnostics.
type Dump struct {
	Published
	Leaving            bool    `json:"leaving"`
	Ejected            bool    `json:"ejected"`
	Inflight           int     `json:"inflight"`
	Busy               float64 `json:"busy"`
	QueuedTokens       float64 `json:"queued_tokens"`
	StepMS             float64 `json:"step_ms"`
	MeasuredPrefillTPS float64 `json:"prefill_tps"`
	CachedBlocks       int     `json:"cache_beliefs"`
	ReportAge          float64 `json:"report_age_s"` // -1 before the first report
}

// Dumps returns the state of all upstreams, sorted by name.
func (r *Registry) Dumps() []Dump {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var out []Dump
	for _, u := range r.upstreams {
		d := Dump{Published: u.Published, Leaving: u.isLeaving(), Ejected: now.Before(u.ejectedUntil), Inflight: u.inflight,
			StepMS: u.stepMS, MeasuredPrefillTPS: u.measuredPrefillTPS, CachedBlocks: len(u.cachedBlocks), ReportAge: now.Sub(u.reportAt).Seconds()}
		if u.reportAt.IsZero() {
			d.ReportAge = -1
		}
		d.Busy, d.QueuedTokens = u.estimateLoad(now, orDefault(u.measuredPrefillTPS, defaultPrefillTPS), r.peerLoadFactor)
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
