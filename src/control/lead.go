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

// plannerKey is held by the process whose planner acts.
const plannerKey = view.Prefix + "planner"

const (
	// safePart of the lease, counted on the holder's own clock from before its
	// last renewal, is all that the holder acts in.
	safePart   = 0.6
	renewParts = 4
)

// lead is the planner's lease. Its epoch is the revision at which the key was
// taken, which only grows; it fences every order.
type lead struct {
	kv    *ports.KV
	view  *view.View
	name  string
	ttl   time.Duration
	mu    sync.Mutex
	epoch int64
	until time.Time // monotonic
	lease int64
}

// valid returns the epoch while the lease is surely held.
func (l *lead) valid() (epoch int64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.epoch > 0 && time.Now().Before(l.until)
}

// run takes the lease whenever it is free, and renews it, until ctx ends.
func (l *lead) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		if err := l.step(ctx); err != nil {
			klog.V(1).InfoS("planner_lease", "err", err)
		} else {
			l.extend(began)
		}
		select {
		case <-ctx.Done():
			l.drop()
		case <-time.After(l.ttl / renewParts):
		}
	}
}

var errHeld = errors.New("another process holds the planner lease")

func (l *lead) step(ctx context.Context) error {
	l.mu.Lock()
	lease, epoch := l.lease, l.epoch
	l.mu.Unlock()
	if lease != 0 {
		err := l.kv.KeepAlive(ctx, lease)
		if errors.Is(err, ports.ErrLeaseGone) {
			l.forget()
			return err
		}
		if err != nil || epoch > 0 {
			return err
		}
	}
	// While the view shows a holder there is nothing to ask the service.
	if _, held := l.view.Get(plannerKey); held && lease == 0 {
		return errHeld
	}
	return l.take(ctx)
}

func (l *lead) take(ctx context.Context) error {
	have, held, _, err := l.kv.Get(ctx, plannerKey)
	if err != nil {
		return err
	}
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	if held {
		// A write whose answer was lost may have made this process the holder.
		if lease != 0 && string(have.Value) == l.tag(lease) {
			l.set(lease, have.Revision)
			return nil
		}
		l.drop()
		return errHeld
	}
	if lease == 0 {
		if lease, err = l.kv.Grant(ctx, l.ttl); err != nil {
			return err
		}
		l.set(lease, 0)
	}
	swap, err := l.kv.PutIf(ctx, plannerKey, []byte(l.tag(lease)), 0, lease)
	if err != nil {
		return err
	}
	if !swap.Succeeded {
		l.drop()
		return errHeld
	}
	l.set(lease, swap.Revision)
	klog.InfoS("planner_lease_taken", "holder", l.name, "epoch", swap.Revision)
	return nil
}

func (l *lead) tag(lease int64) string { return l.name + "#" + strconv.FormatInt(lease, 10) }

func (l *lead) set(lease, epoch int64) {
	l.mu.Lock()
	l.lease, l.epoch = lease, epoch
	l.mu.Unlock()
}

func (l *lead) extend(began time.Time) {
	l.mu.Lock()
	l.until = began.Add(time.Duration(float64(l.ttl) * safePart))
	l.mu.Unlock()
}

func (l *lead) forget() {
	l.mu.Lock()
	if l.epoch > 0 {
		klog.InfoS("planner_lease_lost", "holder", l.name, "epoch", l.epoch)
	}
	l.lease, l.epoch = 0, 0
	l.mu.Unlock()
}

// drop gives the lease back, so that another takes over at once.
func (l *lead) drop() {
	l.mu.Lock()
	lease := l.lease
	l.mu.Unlock()
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = l.kv.Revoke(ctx, lease)
	l.forget()
}
