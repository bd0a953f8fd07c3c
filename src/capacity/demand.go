package capacity

import (
	"math"
	"sync"
	"time"
)

// Constants of demand.
const (
	rateHalfLife   = 3 * time.Second  // of the measured rate of prompt tokens
	peakFor        = 20 * time.Second // for which the highest demand is held
	stepServers    = 2                // demand counts in steps of so many servers
	readUsed       = 0.28             // of an engine's rate of reading that is planned for
	slotsUsed      = 0.4              // of an engine's places that are planned for
	readQuantile   = 0.7              // of the samples that lie below the measured rate of reading
	readStep       = 0.1              // part by which one sample moves it, at most
	sampleTokens   = 1500             // a shorter prompt tells little of the rate of reading
	defaultReading = 50000.0          // tokens a second, before any was measured
)

// Meter measures what this node's requests ask of a service.
type DemandMeter struct {
	mu      sync.Mutex
	tokens  float64 // a second, decaying
	at      time.Time
	reading float64 // quantile of the rate at which engines read prompts, tokens a second
}

// Ask counts a prompt's tokens that no other request shares.
func (m *DemandMeter) RecordPrompt(tokens int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tokens = fade(m.tokens, now.Sub(m.at), rateHalfLife) + float64(tokens)*math.Ln2/rateHalfLife.Seconds()
	m.at = now
}

// Read notes how long an engine took to the first event of a prompt. The
// measured rate follows a high quantile: a prompt that waited tells too low a
// rate, one that was kept in memory too high a one.
func (m *DemandMeter) RecordPrefill(tokens int64, took time.Duration) {
	if tokens < sampleTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reading == 0 {
		m.reading = defaultReading
	}
	if rate > m.reading {
		m.reading *= 1 + readStep*readQuantile
	} else {
		m.reading *= 1 - readStep*(1-readQuantile)
	}
}

// Tokens is the rate of unshared prompt tokens asked for, a second.
func (m *DemandMeter) TokenRate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return fade(m.tokens, now.Sub(m.at), rateHalfLife)
}

// Reading is the measured rate of reading, tokens a second; 0 before any.
func (m *DemandMeter) PrefillRate() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reading
}

func fade(value float64, passed, half time.Duration) float64 {
	return value * math.Exp2(-max(passed, 0).Seconds()/half.Seconds())
}

// Peak holds the highest of the values of the last while.
type RollingMax struct {
	values []peakValue
}

type peakValue struct {
	value int
	at    time.Time
}

// Raise takes in a value and returns the highest of those not older than peakFor.
func (p *RollingMax) Add(value int, now time.Time) int {
	kept := p.values[:0]
	for _, v := range p.values {
		// A value that a later one reaches tells nothing more.
		if now.Sub(v.at) < peakFor && v.value > value {
			kept = append(kept, v)
		}
	}
	p.values = append(kept, peakValue{value, now})
	return p.values[0].value
}

// Servers is how many servers a demand needs: unshared prompt tokens a second,
// requests in progress, places of a server, and the measured rate of reading.
func RequiredServers(tokens, running float64, slots int, reading float64) int {
	if reading <= 0 {
		reading = defaultReading
	}
	need := tokens / (reading * readUsed)
	if slots > 0 {
		need = max(need, running/(float64(slots)*slotsUsed))
	}
	return ceil(need/stepServers) * stepServers
}
