// Package duty implements the duties that one node at a time performs for the
// whole system: reporting usage and ordering servers. A lease in the store
// selects that node.
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

// Lease timing.
const (
	renewalsPerLease = 4
	CallTimeout      = 700 * time.Millisecond // for the store or platform calls of one operation
	safetyMargin     = 0.35                   // final fraction of the lease in which its holder starts no more calls
	closeMargin      = 200 * time.Millisecond // added to the TTL for which a lease must be held before Close revokes it
)

// Term is a period during which one node holds the duties. Fence is its fencing
// token, which increases from term to term.
type Term struct {
	Holder string
	Fence  int64
}

// Store is the part of the key-value service that duties use.
type Store interface {
	// Get reads a key; ok is false if it is not stored. at is the revision of the store.
	Get(ctx context.Context, key string) (it ports.Item, ok bool, at int64, err error)
	// PutIf stores value, attached to lease unless it is 0, if the key is still at
	// revision rev (0: not stored). The keys in remove are deleted in the same
	// transaction.
	PutIf(ctx context.Context, key string, value []byte, rev, lease int64, remove ...string) (ports.SwapResult, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	KeepAlive(ctx context.Context, id int64) error
	Revoke(ctx context.Context, id int64) error
}

// Lease acquires and renews, on behalf of one node, the lease that entitles its
// holder to perform the duties.
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

// leaseState is the state of this node's latest attempt to hold the lease.
type leaseState struct {
	lease     int64  // ID; 0 if there is none
	nonce     string // value that identifies this node's write
	fence     int64  // 0 until the key is known to hold the nonce
	renewedAt time.Time
	heldSince time.Time // zero until the key is known to hold the nonce
}

// NewLease returns the lease stored at key, to be acquired for the node holder.
func NewLease(store Store, key, holder string, ttl time.Duration, now func() time.Time) *Lease {
	return &Lease{store: store, key: key, holder: holder, ttl: ttl, now: now}
}

// Term returns the current term and whether this node may start a call now.
func (l *Lease) Term() (Term, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.closed || l.state.fence == 0 {
		return Term{}, false
	}
	if now.Sub(l.state.renewedAt) >= time.Duration(float64(l.ttl)*(1-safetyMargin)) {
		return Term{}, false
	}
	return Term{l.holder, l.state.fence}, true
}

// Interval returns the time between calls of Step.
func (l *Lease) Interval() time.Duration { return l.ttl / renewalsPerLease }

// Step renews the lease if this node holds it. Otherwise it determines the outcome
// of an earlier write whose response was lost or, if there is none, tries to acquire
// the lease. If taken is true, it does not try: the lease is held, or this node must
// not acquire it now.
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
		l.resolveWrite(ctx, state)
	case !taken:
		l.acquire(ctx)
	}
}

func (l *Lease) renew(ctx context.Context, state leaseState) {
	start := l.now()
	err := l.store.KeepAlive(ctx, state.lease)
	if err == nil {
		l.updateState(func(s *leaseState) { s.renewedAt = start })
		return
	}
	if errors.Is(err, ports.ErrLeaseGone) {
		l.reset("lease expired")
	}
}

// acquire grants a lease and creates the key under it if the key is absent.
func (l *Lease) acquire(ctx context.Context) {
	start := l.now()
	id, err := l.store.Grant(ctx, l.ttl)
	if err != nil {
		return
	}
	state := leaseState{lease: id, nonce: l.holder + "/" + uuid.NewString(), renewedAt: start}
	l.mu.Lock()
	l.state = state
	l.mu.Unlock()
	swap, err := l.store.PutIf(ctx, l.key, []byte(state.nonce), 0, id)
	switch {
	case err != nil:
		// The write may still have been applied; the next step reads the key.
	case swap.Succeeded:
		l.markHeld(swap.Revision)
	default:
		l.abandon(ctx, id)
	}
}

// resolveWrite reads the key to determine the outcome of a write whose response
// was lost.
func (l *Lease) resolveWrite(ctx context.Context, state leaseState) {
	start := l.now()
	it, found, _, err := l.store.Get(ctx, l.key)
	if err != nil {
		return
	}
	if found && string(it.Value) == state.nonce {
		if l.store.KeepAlive(ctx, state.lease) == nil {
			l.updateState(func(s *leaseState) { s.renewedAt = start })
			l.markHeld(it.Revision)
			return
		}
	}
	l.abandon(ctx, state.lease)
}

func (l *Lease) markHeld(fence int64) {
	l.updateState(func(s *leaseState) { s.fence, s.heldSince = fence, l.now() })
	klog.InfoS("duty_taken", "holder", l.holder, "fence", fence)
}

// abandon revokes a lease so that a delayed write under it cannot take effect. It does so
// even if ctx has ended, as the calls before may have used up its time.
func (l *Lease) abandon(ctx context.Context, id int64) {
	l.reset("not acquired")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), CallTimeout)
	defer cancel()
	if err := l.store.Revoke(ctx, id); err != nil {
		klog.InfoS("duty_lease_left_to_expire", "holder", l.holder, "lease", id, "err", err)
	}
}

func (l *Lease) reset(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state.fence != 0 {
		klog.InfoS("duty_lost", "holder", l.holder, "fence", l.state.fence, "why", reason)
	}
	l.state = leaseState{}
}

func (l *Lease) updateState(change func(*leaseState)) {
	l.mu.Lock()
	change(&l.state)
	l.mu.Unlock()
}

// Close stops this node from holding the lease, permanently. It revokes a lease that
// was held for at least the TTL, so that another node can acquire it at once. One
// held for less is left to expire: otherwise the previous holder could acquire it and
// act again within a TTL of its own last call.
func (l *Lease) Close(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	state := l.state
	l.mu.Unlock()
	heldBriefly := state.fence != 0 && l.now().Sub(state.heldSince) < l.ttl+closeMargin
	if state.lease == 0 || heldBriefly {
		return
	}
	l.reset("closed")
	_ = l.store.Revoke(ctx, state.lease)
}
