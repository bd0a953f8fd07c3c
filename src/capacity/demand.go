package capacity

import (
	"math"
	"sync"
	"time"
)

const (
	rateHalfLife       = 3 * time.Second  // half-life of the prompt token rate
	peakWindow         = 20 * time.Second // window of RollingMax
	serverStep         = 2                // the number of servers is rounded up to a multiple of this, to absorb small changes in demand
	prefillUtilization = 0.28             // target utilization of an engine's prefill rate
	slotUtilization    = 0.4              // target utilization of an engine's slots
	prefillQuantile    = 0.7              // quantile of the samples that the prefill rate tracks
	prefillAdjustment  = 0.1              // step size of the quantile estimate, as a fraction of its value
	minSampleTokens    = 1500             // shorter prompts are not sampled
	defaultPrefillRate = 50000.0          // tokens per second, before the first sample
)

// DemandMeter measures the demand of this node's requests on a service.
type DemandMeter struct {
	mu          sync.Mutex
	tokenRate   float64 // tokens per second at updatedAt, decaying
	updatedAt   time.Time
	prefillRate float64 // estimated quantile, tokens per second; 0 before the first sample
}

// RecordPrompt adds the tokens of a prompt that are not in a shared prefix.
func (m *DemandMeter) RecordPrompt(tokens int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokenRate = decay(m.tokenRate, now.Sub(m.updatedAt), rateHalfLife) + float64(tokens)*math.Ln2/rateHalfLife.Seconds()
	m.updatedAt = now
}

// RecordPrefill records the time from sending a prompt to the first event of the
// answer. The estimate tracks a quantile, which a few extreme samples hardly
// move: prompts that were queued give far too low a rate, and cached prompts far
// too high a rate.
func (m *DemandMeter) RecordPrefill(tokens int64, duration time.Duration) {
	if tokens < minSampleTokens || duration <= 0 {
		return
	}
	rate := float64(tokens) / duration.Seconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.prefillRate == 0 {
		m.prefillRate = defaultPrefillRate
	}
	if rate > m.prefillRate {
		m.prefillRate *= 1 + prefillAdjustment*prefillQuantile
	} else {
		m.prefillRate *= 1 - prefillAdjustment*(1-prefillQuantile)
	}
}

// TokenRate returns the rate of unshared prompt tokens per second.
func (m *DemandMeter) TokenRate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return decay(m.tokenRate, now.Sub(m.updatedAt), rateHalfLife)
}

// PrefillRate returns the estimated prefill rate in tokens per second, or 0
// before the first sample.
func (m *DemandMeter) PrefillRate() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.prefillRate
}

func decay(value float64, elapsed, halfLife time.Duration) float64 {
	return value * math.Exp2(-max(elapsed, 0).Seconds()/halfLife.Seconds())
}

// RollingMax tracks the maximum of the values added within peakWindow.
type RollingMax struct {
	samples []sample // in decreasing order of value
}

type sample struct {
	value int
	at    time.Time
}

// Add adds a value and returns the maximum of those younger than peakWindow.
func (m *RollingMax) Add(value int, now time.Time) int {
	kept := m.samples[:0]
	for _, s := range m.samples {
		// A value that is not above a later one can no longer be the maximum.
		if now.Sub(s.at) < peakWindow && s.value > value {
			kept = append(kept, s)
		}
	}
	m.samples = append(kept, sample{value, now})
	return m.samples[0].value
}

// RequiredServers returns the number of servers for a demand: unshared prompt
// tokens per second, requests in progress, slots per server, and the prefill rate
// of a server in tokens per second. Zero slots or a zero rate mean unknown.
func RequiredServers(tokenRate, running float64, slots int, prefillRate float64) int {
	if prefillRate <= 0 {
		prefillRate = defaultPrefillRate
	}
	need := tokenRate / (prefillRate * prefillUtilization)
	if slots > 0 {
		need = max(need, running/(float64(slots)*slotUtilization))
	}
	return ceil(need/serverStep) * serverStep
}
