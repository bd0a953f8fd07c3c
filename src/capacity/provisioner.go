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

const (
	noCapacityRetry = 1500 * time.Millisecond // retry interval when the domain has no capacity
	errorRetry      = 500 * time.Millisecond  // retry interval after other errors
	settleMargin    = 4 * time.Second         // time beyond boot after which an unfulfilled order is sent again
)

// Provisioner sends orders for servers while it holds the lease. An order is
// sent again only if its count changed, it failed, or it was not fulfilled.
type Provisioner struct {
	Lease  *duty.Lease
	Sender duty.OrderSender
	Now    func() time.Time

	fence      int64 // fencing token of the lease under which lastOrders were sent
	lastOrders map[orderKey]sentOrder
}

type orderKey struct {
	service, domain string
	spot            bool
}

type sentOrder struct {
	count   int
	sentAt  time.Time
	retryAt time.Time // zero if the order was accepted
}

// Reconcile sends the orders of one service that are due.
func (p *Provisioner) Reconcile(ctx context.Context, scaling traffic.Scaling, orders []duty.Order, supply map[string]Supply) {
	for _, o := range orders {
		term, ok := p.Lease.Term()
		if !ok {
			return
		}
		if p.fence != term.Fence {
			// The orders of the previous lease holder are unknown.
			p.fence, p.lastOrders = term.Fence, map[orderKey]sentOrder{}
		}
		key := orderKey{o.Service, o.FailureDomain, o.Spot}
		if p.due(p.lastOrders[key], o, scaling, supply[o.FailureDomain]) {
			p.lastOrders[key] = p.send(ctx, term, o)
		}
	}
}

func (p *Provisioner) due(last sentOrder, o duty.Order, scaling traffic.Scaling, supply Supply) bool {
	now := p.Now()
	count := supply.OnDemand
	if o.Spot {
		count = supply.Spot
	}
	switch {
	case last.sentAt.IsZero() || !last.retryAt.IsZero():
		return !now.Before(last.retryAt)
	case last.count != o.Count:
		return true
	}
	return count != o.Count && now.Sub(last.sentAt) > scaling.Boot+settleMargin
}

func (p *Provisioner) send(ctx context.Context, term duty.Term, o duty.Order) sentOrder {
	ctx, cancel := context.WithTimeout(ctx, duty.CallTimeout)
	defer cancel()
	startedAt := p.Now()
	err := p.Sender.OrderServers(ctx, term, o)
	klog.InfoS("order", "service", o.Service, "failure_domain", o.FailureDomain, "count", o.Count, "spot", o.Spot, "fence", term.Fence, "err", err)
	sent := sentOrder{count: o.Count, sentAt: p.Now()}
	switch {
	case errors.Is(err, ports.ErrNoCapacity):
		sent.retryAt = startedAt.Add(noCapacityRetry)
	case err != nil:
		sent.retryAt = startedAt.Add(errorRetry)
	}
	return sent
}
