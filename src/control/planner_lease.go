package control

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/view"
)

// plannerLeaseKey is attached to the lease of the process that runs the planner.
const plannerLeaseKey = view.Prefix + "planner"

const (
	// safeTTLFraction is the part of the TTL, counted from the start of the last
	// successful renewal, during which the holder may start calls. The rest is a
	// margin for calls still in flight and for a holder that is paused after its
	// check.
	safeTTLFraction = 0.6
	renewalsPerTTL  = 4
)

// plannerLease elects the process that runs the planner. Its epoch is the revision
// at which the key was written; it increases with each holder and serves as the
// fencing token of orders to engines. Shards have epochs of their own (claim.Shard).
type plannerLease struct {
	kv         *ports.KV
	view       *view.View
	name       string
	ttl        time.Duration
	mu         sync.Mutex
	epoch      int64
	validUntil time.Time // compared on the monotonic clock
	leaseID    int64
}

// currentEpoch returns the epoch, and whether the lease is certain to be held.
func (l *plannerLease) currentEpoch() (epoch int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.epoch > 0 && time.Now().Before(l.validUntil)
}

// run acquires the lease when it is free and renews it until ctx is done, then
// releases it.
func (l *plannerLease) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		if err := l.acquireOrRenew(ctx); err != nil {
			klog.V(1).InfoS("planner_lease", "err", err)
		} else {
			l.extend(start)
		}
		select {
		case <-ctx.Done():
			l.release()
		case <-time.After(l.ttl / renewalsPerTTL):
		}
	}
}

var errLeaseHeld = errors.New("another process holds the planner lease")

func (l *plannerLease) acquireOrRenew(ctx context.Context) error {
	l.mu.Lock()
	leaseID, epoch := l.leaseID, l.epoch
	l.mu.Unlock()
	if leaseID != 0 {
		err := l.kv.KeepAlive(ctx, leaseID)
		if errors.Is(err, ports.ErrLeaseGone) {
			l.clear()
			return err
		}
		if err != nil || epoch > 0 {
			return err
		}
	}
	// Skip the round trip while the view shows another holder.
	if _, held := l.view.Get(plannerLeaseKey); held && leaseID == 0 {
		return errLeaseHeld
	}
	return l.acquire(ctx)
}

func (l *plannerLease) acquire(ctx context.Context) error {
	item, held, _, err := l.kv.Get(ctx, plannerLeaseKey)
	if err != nil {
		return err
	}
	l.mu.Lock()
	leaseID := l.leaseID
	l.mu.Unlock()
	if held {
		// An earlier write may have succeeded although its response was lost.
		if leaseID != 0 && string(item.Value) == l.holderValue(leaseID) {
			l.setLease(leaseID, item.Revision)
			return nil
		}
		l.release()
		return errLeaseHeld
	}
	if leaseID == 0 {
		if leaseID, err = l.kv.Grant(ctx, l.ttl); err != nil {
			return err
		}
		l.setLease(leaseID, 0)
	}
	swap, err := l.kv.PutIf(ctx, plannerLeaseKey, []byte(l.holderValue(leaseID)), 0, leaseID)
	if err != nil {
		return err
	}
	if !swap.Succeeded {
		l.release()
		return errLeaseHeld
	}
	l.setLease(leaseID, swap.Revision)
	klog.InfoS("planner_lease_taken", "holder", l.name, "epoch", swap.Revision)
	return nil
}

func (l *plannerLease) holderValue(leaseID int64) string {
	return l.name + "#" + strconv.FormatInt(leaseID, 10)
}

func (l *plannerLease) setLease(leaseID, epoch int64) {
	l.mu.Lock()
	l.leaseID, l.epoch = leaseID, epoch
	l.mu.Unlock()
}

func (l *plannerLease) extend(start time.Time) {
	l.mu.Lock()
	l.validUntil = start.Add(time.Duration(float64(l.ttl) * safeTTLFraction))
	l.mu.Unlock()
}

func (l *plannerLease) clear() {
	l.mu.Lock()
	if l.epoch > 0 {
		klog.InfoS("planner_lease_lost", "holder", l.name, "epoch", l.epoch)
	}
	l.leaseID, l.epoch = 0, 0
	l.mu.Unlock()
}

// release revokes the lease so that another process can take over immediately.
func (l *plannerLease) release() {
	l.mu.Lock()
	leaseID := l.leaseID
	l.mu.Unlock()
	if leaseID == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	l.clear() // first: once the lease is revoked, another process may hold it
	if err := l.kv.Revoke(ctx, leaseID); err != nil {
		klog.InfoS("planner_lease_left_to_expire", "holder", l.name, "err", err)
	}
}
