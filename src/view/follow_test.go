package view

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/ports"
)

// deafService lists well, and its first watch never shows anything.
type deafService struct {
	watches chan int64
	items   []ports.Item
	rev     int64
}

func (s *deafService) List(context.Context, string) ([]ports.Item, int64, error) {
	return s.items, s.rev, nil
}

func (s *deafService) Watch(ctx context.Context, _ string, from int64, _ func(ports.Batch)) error {
	s.watches <- from
	<-ctx.Done()
	return ctx.Err()
}

func TestDeafWatchIsCutAndBegunAnew(t *testing.T) {
	is := is.New(t)
	v := New()
	service := &deafService{watches: make(chan int64, 8), rev: 5}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go v.Follow(ctx, service, "")
	is.Equal(<-service.watches, int64(6))
	complete, _ := v.Complete()
	is.Equal(v.CancelStalledWatch(complete), false) // nothing is known that the watch did not show
	v.ApplyPeer(Delta{Items: []ports.Item{{Key: "a", Revision: 9}}, Complete: 9})
	is.Equal(v.CancelStalledWatch(9), true)
	select {
	case from := <-service.watches:
		is.Equal(from, int64(10))
	case <-time.After(5 * time.Second):
		t.Fatal("no new watch")
	}
	is.Equal(v.CancelStalledWatch(9), false) // the new watch begins after all that is known
}
