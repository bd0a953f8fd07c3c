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
	renewParts    = 3 // renewals within one lease
	retryRegister = time.Second
	spreadParts   = 6 // registrations after lapsed leases are spread over this part of one
)

// Registrar keeps a node's record in the key-value service under a lease.
type Registrar struct {
	kv    *ports.KV
	lease time.Duration
	mu    sync.Mutex
	node  Node
	wake  chan struct{}
	known string // value last stored
}

// NewRegistrar returns the registrar of a node.
func NewRegistrar(kv *ports.KV, node Node, lease time.Duration) *Registrar {
	return &Registrar{kv: kv, node: node, lease: lease, wake: make(chan struct{}, 1)}
}

// SetLeaving marks the record as leaving.
func (r *Registrar) SetLeaving() {
	r.mu.Lock()
	r.node.Leaving = true
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run registers and renews until ctx ends, then removes the record. An outage
// of the service changes nothing: the next success registers again.
func (r *Registrar) Run(ctx context.Context) {
	var lease int64
	wait := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			r.remove(lease)
			return
		case <-r.wake:
		case <-time.After(wait):
		}
		err := r.step(ctx, &lease)
		wait = r.lease / renewParts
		if err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("register", "err", err)
			wait = retryRegister
		}
		if errors.Is(err, ports.ErrLeaseGone) {
			// Many leases lapse together when an outage ends; a node without
			// a record is still heard, so there is time to come back one by one.
			wait = rand.N(r.lease / spreadParts)
		}
	}
}

func (r *Registrar) step(ctx context.Context, lease *int64) error {
	if *lease != 0 {
		err := r.kv.KeepAlive(ctx, *lease)
		if errors.Is(err, ports.ErrLeaseGone) {
			*lease, r.known = 0, ""
		}
		if err != nil {
			return err
		}
	}
	if *lease == 0 {
		id, err := r.kv.Grant(ctx, r.lease)
		if err != nil {
			return err
		}
		*lease = id
	}
	return r.store(ctx, *lease)
}

// store writes the record unless it is stored already.
func (r *Registrar) store(ctx context.Context, lease int64) error {
	r.mu.Lock()
	raw, err := json.Marshal(r.node)
	r.mu.Unlock()
	if err != nil || r.known == string(raw) {
		return err
	}
	have, _, _, err := r.kv.Get(ctx, r.node.Key())
	if err != nil {
		return err
	}
	swap, err := r.kv.PutIf(ctx, r.node.Key(), raw, have.Revision, lease)
	if err == nil && swap.Succeeded {
		r.known = string(raw)
	}
	if err == nil && !swap.Succeeded {
		return errors.New("record was changed meanwhile")
	}
	return err
}

func (r *Registrar) remove(lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), retryRegister)
	defer cancel()
	_ = r.kv.Revoke(ctx, lease)
}
