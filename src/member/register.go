package member

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/ports"
)

const (
	renewalsPerLease      = 3
	registerRetryInterval = time.Second // also limits the call that revokes the lease
	reregisterSpread      = 6           // registrations after lost leases are spread over 1/reregisterSpread of the TTL
)

// Registrar keeps a node's record in the key-value service under a lease.
type Registrar struct {
	kv          *ports.KV
	ttl         time.Duration // of the lease
	mu          sync.Mutex
	node        Node
	wake        chan struct{}
	storedValue string // record last written
}

// NewRegistrar returns a registrar that keeps the node's record under leases with
// the given TTL.
func NewRegistrar(kv *ports.KV, node Node, ttl time.Duration) *Registrar {
	return &Registrar{kv: kv, node: node, ttl: ttl, wake: make(chan struct{}, 1)}
}

// SetLeaving marks the node as leaving and rewrites its record.
func (r *Registrar) SetLeaving() {
	r.mu.Lock()
	r.node.Leaving = true
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run keeps the record registered until ctx is canceled and then removes it.
// Failures of the key-value service are retried.
func (r *Registrar) Run(ctx context.Context) {
	var lease int64
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			r.revokeLease(lease)
			return
		case <-r.wake:
		case <-time.After(wait):
		}
		err := r.renewOrRegister(ctx, &lease)
		wait = r.ttl / renewalsPerLease
		if err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("register", "err", err)
			wait = registerRetryInterval
		}
		if errors.Is(err, ports.ErrLeaseGone) {
			// Many leases expire together when an outage ends. Nodes without a record
			// stay listed while they send messages, so registration can be spread out.
			wait = rand.N(r.ttl / reregisterSpread)
		}
	}
}

func (r *Registrar) renewOrRegister(ctx context.Context, lease *int64) error {
	if *lease != 0 {
		err := r.kv.KeepAlive(ctx, *lease)
		if errors.Is(err, ports.ErrLeaseGone) {
			*lease, r.storedValue = 0, ""
		}
		if err != nil {
			return err
		}
	}
	if *lease == 0 {
		id, err := r.kv.Grant(ctx, r.ttl)
		if err != nil {
			return err
		}
		*lease = id
	}
	return r.writeRecord(ctx, *lease)
}

// writeRecord writes the record unless it is already stored.
func (r *Registrar) writeRecord(ctx context.Context, lease int64) error {
	r.mu.Lock()
	raw, err := json.Marshal(r.node)
	r.mu.Unlock()
	if err != nil || r.storedValue == string(raw) {
		return err
	}
	have, _, _, err := r.kv.Get(ctx, r.node.Key())
	if err != nil {
		return err
	}
	swap, err := r.kv.PutIf(ctx, r.node.Key(), raw, have.Revision, lease)
	if err == nil && swap.Succeeded {
		r.storedValue = string(raw)
	}
	if err == nil && !swap.Succeeded {
		return errors.New("node record was modified concurrently")
	}
	return err
}

func (r *Registrar) revokeLease(lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registerRetryInterval)
	defer cancel()
	_ = r.kv.Revoke(ctx, lease)
}
