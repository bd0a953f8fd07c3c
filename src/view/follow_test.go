package view

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/ports"
)

// stalledWatchService supports listing, but its watches deliver nothing.
type stalledWatchService struct {
	watches chan int64
	items   []ports.Item
	rev     int64
}

func (s *stalledWatchService) List(context.Context, string) ([]ports.Item, int64, error) {
	return s.items, s.rev, nil
}

func (s *stalledWatchService) Watch(ctx context.Context, _ string, from int64, _ func(ports.Batch)) error {
	s.watches <- from
	<-ctx.Done()
	return ctx.Err()
}

func TestStalledWatchIsReplaced(t *testing.T) {
	is := is.New(t)
	v := New()
	service := &stalledWatchService{watches: make(chan int64, 8), rev: 5}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go v.Follow(ctx, service, "")
	is.Equal(<-service.watches, int64(6))
	complete, _ := v.Complete()
	is.Equal(v.CancelStalledWatch(complete), false) // no change has arrived by another path
	v.ApplyPeer(Delta{Items: []ports.Item{{Key: "a", Revision: 9}}, CompleteRevision: 9})
	is.Equal(v.CancelStalledWatch(9), true)
	select {
	case from := <-service.watches:
		is.Equal(from, int64(10))
	case <-time.After(5 * time.Second):
		t.Fatal("watch was not restarted within 5 s")
	}
	is.Equal(v.CancelStalledWatch(9), false) // the new watch starts after revision 9
}
