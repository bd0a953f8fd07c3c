// Package operator is the resource API: the surface on which operators read,
// change and watch what the system is to do.
package operator

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/view"
)

// Errors of a change.
var (
	ErrConflict         = errors.New("the resource was changed by somebody else")
	ErrOutcomeUnknown   = errors.New("whether the change took effect is not known")
	ErrStoreUnavailable = errors.New("the change was not made: the key-value service is unavailable")
)

const (
	changesKept  = 8
	settleTries  = 6
	settlePause  = 100 * time.Millisecond
	viewWait     = time.Second
	viewPollStep = 20 * time.Millisecond
)

// Store makes changes to resources. Each is one compare-and-swap on one key.
type Store struct {
	kv   *ports.KV
	view *view.View
}

// NewStore returns a store over the key-value service and this process's view.
func NewStore(kv *ports.KV, v *view.View) *Store { return &Store{kv, v} }

// Put stores a resource that is still at version (0: that does not exist).
// change names this write: asked again by the same name, or after a lost
// answer, it is made once. The result is the stored resource. ErrConflict
// comes with the resource as it stands.
func (s *Store) Put(ctx context.Context, r catalog.Resource, version int64, change string) (catalog.Resource, error) {
	key := catalog.Key(r.Kind, r.Name)
	tried := false
	for try := range settleTries {
		if try > 0 {
			time.Sleep(request.Jitter(settlePause << try))
		}
		item, exists, _, err := s.kv.Get(ctx, key)
		if err != nil {
			if !tried {
				return r, oops.Wrap(errors.Join(ErrStoreUnavailable, err))
			}
			continue
		}
		have, done, err := standing(item, exists, version, change)
		if err != nil || done {
			return have, s.await(ctx, have.Version, err)
		}
		r.Changes = lastChanges(append(slices.Clone(have.Changes), change))
		tried = true
		swap, err := s.kv.PutIf(ctx, key, r.Encode(), version, 0)
		if err == nil && swap.Succeeded {
			r.Version = swap.Revision
			return r, s.await(ctx, r.Version, nil)
		}
		// Lost the race, or lost the answer: the next reading tells which.
	}
	return r, oops.Wrap(ErrOutcomeUnknown)
}

// standing compares what is stored with what the writer expects: done when
// this very change is stored already.
func standing(item ports.Item, exists bool, version int64, change string) (have catalog.Resource, done bool, err error) {
	if exists {
		if have, err = catalog.Decode(item); err != nil {
			return have, false, oops.Wrapf(err, "stored resource")
		}
	}
	if exists && slices.Contains(have.Changes, change) {
		return have, true, nil
	}
	if have.Version != version {
		return have, false, oops.Wrap(ErrConflict)
	}
	return have, false, nil
}

func lastChanges(ids []string) []string { return ids[max(len(ids)-changesKept, 0):] }

// Delete removes a resource that is still at version.
func (s *Store) Delete(ctx context.Context, kind catalog.Kind, name string, version int64) (catalog.Resource, error) {
	key := catalog.Key(kind, name)
	tried := false
	for try := range settleTries {
		if try > 0 {
			time.Sleep(request.Jitter(settlePause << try))
		}
		item, exists, rev, err := s.kv.Get(ctx, key)
		switch {
		case err != nil && !tried:
			return catalog.Resource{}, oops.Wrap(errors.Join(ErrStoreUnavailable, err))
		case err != nil:
			continue
		case !exists && tried:
			return catalog.Resource{Kind: kind, Name: name, Version: rev}, s.await(ctx, rev, nil)
		}
		have, _, err := standing(item, exists, version, "")
		if err != nil {
			return have, err
		}
		tried = true
		swap, err := s.kv.DeleteIf(ctx, key, version)
		if err == nil && swap.Succeeded {
			return catalog.Resource{Kind: kind, Name: name, Version: swap.Revision}, s.await(ctx, swap.Revision, nil)
		}
	}
	return catalog.Resource{}, oops.Wrap(ErrOutcomeUnknown)
}

// await gives this process's view a moment to hold the write, so that a
// reader here sees it. err passes through.
func (s *Store) await(ctx context.Context, version int64, err error) error {
	if err != nil {
		return err
	}
	limit := time.Now().Add(viewWait)
	for time.Now().Before(limit) && ctx.Err() == nil {
		if rev, _ := s.view.Complete(); rev >= version {
			return nil
		}
		time.Sleep(viewPollStep)
	}
	return nil
}

// Get reads a resource from this process's view.
func (s *Store) Get(kind catalog.Kind, name string) (catalog.Resource, bool) {
	it, ok := s.view.Get(catalog.Key(kind, name))
	if !ok {
		return catalog.Resource{}, false
	}
	r, err := catalog.Decode(it)
	return r, err == nil
}

// List reads all resources of a kind from this process's view.
func (s *Store) List(kind catalog.Kind) []catalog.Resource {
	out := []catalog.Resource{}
	for _, it := range s.view.List(catalog.ConfigPrefix + string(kind) + "/") {
		if r, err := catalog.Decode(it); err == nil {
			out = append(out, r)
		}
	}
	return out
}
