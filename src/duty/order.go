package duty

import "context"

// Order asks for a number of servers of a service in a failure domain.
type Order struct {
	Service       string
	FailureDomain string
	Count         int
	Spot          bool // reclaimable ones
}

// OrderSender makes an order.
type OrderSender interface {
	OrderServers(ctx context.Context, term Term, o Order) error
}
