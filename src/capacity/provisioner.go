package capacity

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/duty"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/traffic"
)

// Times of orders.
const (
	soldOutWait  = 1500 * time.Millisecond // before asking again for what could not be had
	failedWait   = 500 * time.Millisecond  // after a call that failed
	settleBeyond = 4 * time.Second         // beyond the boot time, before an order counts as not obeyed
)

// Buyer sends the orders of the holder of the duty, each only when it differs
// from what was ordered last or was not obeyed.
type Provisioner struct {
	Lease  *duty.Lease
	Sender duty.OrderSender
	Now    func() time.Time

	fence  int64
	placed map[subject]placement
}

type subject struct {
	service, domain string
	spot            bool
}

type placement struct {
	count int
	at    time.Time
	again time.Time // not before; zero when it was accepted
}

// Step sends the orders that are due for one service.
func (b *Provisioner) Reconcile(ctx context.Context, scaling traffic.Scaling, orders []duty.Order, supply map[string]Supply) {
	for _, o := range orders {
		term, ok := b.Lease.Term()
		if !ok {
			return
		}
		if b.fence != term.Fence {
			// What an earlier holder ordered is not known.
			b.fence, b.placed = term.Fence, map[subject]placement{}
		}
		key := subject{o.Service, o.FailureDomain, o.Spot}
		if b.due(b.placed[key], o, scaling, supply[o.FailureDomain]) {
			b.placed[key] = b.send(ctx, term, o)
		}
	}
}

func (b *Provisioner) due(last placement, o duty.Order, scaling traffic.Scaling, have Supply) bool {
	now := b.Now()
	count := have.OnDemand
	if o.Spot {
		count = have.Spot
	}
	switch {
	case last.at.IsZero() || !last.again.IsZero():
		return !now.Before(last.again)
	case last.count != o.Count:
		return true
	}
	return count != o.Count && now.Sub(last.at) > scaling.Boot+settleBeyond
}

func (b *Provisioner) send(ctx context.Context, term duty.Term, o duty.Order) placement {
	ctx, cancel := context.WithTimeout(ctx, duty.CallTimeout)
	defer cancel()
	began := b.Now()
	err := b.Sender.OrderServers(ctx, term, o)
	klog.InfoS("order", "service", o.Service, "failure_domain", o.FailureDomain, "count", o.Count, "spot", o.Spot, "fence", term.Fence, "err", err)
	placed := placement{count: o.Count, at: b.Now()}
	switch {
	case errors.Is(err, ports.ErrNoCapacity):
		placed.again = began.Add(soldOutWait)
	case err != nil:
		placed.again = began.Add(failedWait)
	}
	return placed
}
