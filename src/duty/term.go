// Package duty carries what one node at a time may do: it holds the lease of
// the duties, seals and reports usage, and orders servers.
package duty

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/ports"
)

// Times of the lease, as parts of its time to live.
const (
	renewParts  = 4                      // renewals within one lease
	CallTimeout = 700 * time.Millisecond // of one call under a term
	safetyShare = 0.35                   // of a lease, in which its holder no longer begins calls
	holdOff     = 200 * time.Millisecond // beyond a lease, for which a lease is held before it is given up early
)

// Term is one holder's time in duty. Fence grows from holder to holder.
type Term struct {
	Holder string
	Fence  int64
}

// Store is what the lease needs of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (it ports.Item, ok bool, at int64, err error)
	PutIf(ctx context.Context, key string, value []byte, rev, lease int64, remove ...string) (ports.SwapResult, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive(ctx context.Context, id int64) error
	Revoke(ctx context.Context, id int64) error
}

// Lease is this node's side of the lease of the duties.
type Lease struct {
	store  Store
	key    string
	holder string
	ttl    time.Duration
	now    func() time.Time

	mu     sync.Mutex
	state  leaseState
	closed bool
}

// leaseState is what is known of the own try at the lease.
type leaseState struct {
	lease   int64
	nonce   string // value by which the own write is recognised
	fence   int64  // 0 until the key is known to hold the nonce
	renewed time.Time
	held    time.Time // since when; zero before the key is known to hold the nonce
}

// NewLease returns the lease kept at key, for the node holder.
func NewLease(store Store, key, holder string, ttl time.Duration, now func() time.Time) *Lease {
	return &Lease{store: store, key: key, holder: holder, ttl: ttl, now: now}
}

// Term returns the present term if this node may begin a call now.
func (l *Lease) Term() (Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.closed || l.state.fence == 0 {
		return Term{}, false
	}
	if now.Sub(l.state.renewed) >= time.Duration(float64(l.ttl)*(1-safetyShare)) {
		return Term{}, false
	}
	return Term{l.holder, l.state.fence}, true
}

// Interval is the time between two steps.
func (l *Lease) Interval() time.Duration { return l.ttl / renewParts }

// Step renews the lease, or tries to take it when taken is false.
func (l *Lease) Step(ctx context.Context, taken bool) {
	l.mu.Lock()
	state, closed := l.state, l.closed
	l.mu.Unlock()
	if closed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	switch {
	case state.fence != 0:
		l.renew(ctx, state)
	case state.lease != 0:
		l.resolve(ctx, state)
	case !taken:
		l.begin(ctx)
	}
}

func (l *Lease) renew(ctx context.Context, state leaseState) {
	began := l.now()
	err := l.store.KeepAlive(ctx, state.lease)
	if err == nil {
		l.set(func(s *leaseState) { s.renewed = began })
		return
	}
	if errors.Is(err, ports.ErrLeaseGone) {
		l.drop("lease lapsed")
	}
}

// begin makes a lease and writes the key under it if the key is absent.
func (l *Lease) begin(ctx context.Context) {
	began := l.now()
	id, err := l.store.Grant(ctx, l.ttl)
	if err != nil {
		return
	}
	state := leaseState{lease: id, nonce: l.holder + "/" + uuid.NewString(), renewed: began}
	l.mu.Lock()
	l.state = state
	l.mu.Unlock()
	swap, err := l.store.PutIf(ctx, l.key, []byte(state.nonce), 0, id)
	switch {
	case err != nil:
		// The write may still take effect; the next step reads it back.
	case swap.Succeeded:
		l.hold(swap.Revision)
	default:
		l.abandon(ctx, id)
	}
}

// resolve finds out what became of a write whose answer was lost.
func (l *Lease) resolve(ctx context.Context, state leaseState) {
	began := l.now()
	it, found, _, err := l.store.Get(ctx, l.key)
	if err != nil {
		return
	}
	if found && string(it.Value) == state.nonce {
		if l.store.KeepAlive(ctx, state.lease) == nil {
			l.set(func(s *leaseState) { s.renewed = began })
			l.hold(it.Revision)
			return
		}
	}
	l.abandon(ctx, state.lease)
}

func (l *Lease) hold(fence int64) {
	l.set(func(s *leaseState) { s.fence, s.held = fence, l.now() })
	klog.InfoS("duty_taken", "holder", l.holder, "fence", fence)
}

// abandon ends a lease, so that a late write under it cannot take effect.
func (l *Lease) abandon(ctx context.Context, id int64) {
	l.drop("not taken")
	_ = l.store.Revoke(ctx, id)
}

func (l *Lease) drop(why string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.fence != 0 {
		klog.InfoS("duty_lost", "holder", l.holder, "fence", l.state.fence, "why", why)
	}
	l.state = leaseState{}
}

func (l *Lease) set(change func(*leaseState)) {
	l.mu.Lock()
	change(&l.state)
	l.mu.Unlock()
}

// Close gives the lease up for good. Another node can take it at once, unless
// it was held for less than a lease: then it is left to lapse, so that a node
// that held it before does not act again within a lease of its own last act.
func (l *Lease) Close(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	state := l.state
	l.mu.Unlock()
	short := state.fence != 0 && l.now().Sub(state.held) < l.ttl+holdOff
	if state.lease == 0 || short {
		return
	}
	l.drop("closed")
	_ = l.store.Revoke(ctx, state.lease)
}
