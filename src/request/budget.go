package request

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget limits the retries of one node to a fraction of its requests, so that
// retries do not overload failing upstreams. Unused retries accumulate up to a bound.
// WindowBudget limits the retries of all nodes together.
type Budget struct {
	mu        sync.Mutex
	fraction  float64
	burst     float64
	available float64
}

// NewBudget returns a budget of fraction retries per request, of which up to
// burst accumulate. It starts with burst retries.
func NewBudget(fraction, burst float64) *Budget {
	return &Budget{fraction: fraction, burst: burst, available: burst}
}

// Earn adds the retries allowed for one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	b.available = min(b.available+b.fraction, b.burst)
	b.mu.Unlock()
}

// Spend takes one retry. It returns false if none is available.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// Available returns the number of retries left.
func (b *Budget) Available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available
}

const (
	jitterLow  = 0.8
	jitterSpan = 0.4
)

// JitterUp lengthens a duration by up to 20%, for waits that are known and not estimated.
func JitterUp(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterSpan/2*rand.Float64()))
}

// Jitter randomizes a duration by up to 20% in either direction.
func Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (jitterLow + jitterSpan*rand.Float64()))
}
