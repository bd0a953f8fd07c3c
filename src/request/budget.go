package request

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget bounds retries to a fraction of live traffic, so that a failing
// fleet is not asked for more than it was by its callers.
type Budget struct {
	mu       sync.Mutex
	fraction float64
	most     float64
	have     float64
}

// NewBudget allows fraction retries for each request, saving up to most.
func NewBudget(fraction, most float64) *Budget {
	return &Budget{fraction: fraction, most: most, have: most}
}

// Earn counts one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	b.have = min(b.have+b.fraction, b.most)
	b.mu.Unlock()
}

// Spend takes one retry; false when there is none left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}

// Have tells how many retries are left.
func (b *Budget) Available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.have
}

const (
	jitterLow  = 0.8
	jitterSpan = 0.4
)

// Jitter spreads a time by a fifth to either side.
func Jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (jitterLow + jitterSpan*rand.Float64()))
}
