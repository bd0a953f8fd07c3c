package duty

import "context"

// Order requests servers of a service in a failure domain.
type Order struct {
	Service       string
	FailureDomain string
	Count         int  // desired number of servers
	Spot          bool // reclaimable servers
}

// OrderSender places orders.
type OrderSender interface {
	OrderServers(ctx context.Context, term Term, o Order) error
}
