// Package operator implements the resource API, through which operators read,
// change and watch the desired state of the system.
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

// Errors of Store.Put and Store.Delete.
var (
	ErrNotFound         = errors.New("there is no such resource")
	ErrConflict         = errors.New("the resource was changed by somebody else")
	ErrOutcomeUnknown   = errors.New("whether the change took effect is not known")
	ErrStoreUnavailable = errors.New("the change was not made: the key-value service is unavailable")
)

const (
	maxStoredChangeIDs = 8
	maxAttempts        = 6
	retryBackoff       = 100 * time.Millisecond
	viewWaitTimeout    = time.Second
	viewPollInterval   = 20 * time.Millisecond
)

// Store reads and writes resources. Each write is a compare-and-swap on one key.
type Store struct {
	kv   *ports.KV
	view *view.View
}

// NewStore returns a Store that writes to kv and reads from v.
func NewStore(kv *ports.KV, v *view.View) *Store { return &Store{kv, v} }

// Put stores a resource if its current version is version; 0 means that it must
// not exist. A write repeated with the same changeID is applied once. Put returns
// the stored resource, or the current one along with ErrConflict.
func (s *Store) Put(ctx context.Context, r catalog.Resource, version int64, changeID string) (catalog.Resource, error) {
	key := catalog.Key(r.Kind, r.Name)
	writeSent := false
	for attempt := range maxAttempts {
		if !waitBeforeRetry(ctx, attempt) {
			break
		}
		item, exists, _, err := s.kv.Get(ctx, key)
		if err != nil {
			if !writeSent {
				return r, oops.Wrap(errors.Join(ErrStoreUnavailable, err))
			}
			continue
		}
		current, done, err := compareStored(item, exists, version, changeID)
		if err != nil || done {
			return current, s.waitForView(ctx, current.Version, err)
		}
		r.Changes = trimChangeIDs(append(slices.Clone(current.Changes), changeID))
		writeSent = true
		swap, err := s.kv.PutIf(ctx, key, r.Encode(), version, 0)
		if err == nil && swap.Succeeded {
			r.Version = swap.Revision
			return r, s.waitForView(ctx, r.Version, nil)
		}
		// Either a concurrent write won or the response was lost; reading again tells.
	}
	return r, oops.Wrap(ErrOutcomeUnknown)
}

// compareStored compares the stored resource with the version that the writer
// expects. done reports that the change is already stored.
func compareStored(item ports.Item, exists bool, version int64, changeID string) (current catalog.Resource, done bool, err error) {
	if exists {
		if current, err = catalog.Decode(item); err != nil {
			return current, false, oops.Wrapf(err, "stored resource")
		}
	}
	if exists && slices.Contains(current.Changes, changeID) {
		return current, true, nil
	}
	if current.Version != version {
		return current, false, oops.Wrap(ErrConflict)
	}
	return current, false, nil
}

// waitBeforeRetry waits before a further attempt, and not before the first. It returns
// false if ctx ends first.
func waitBeforeRetry(ctx context.Context, attempt int) bool {
	if attempt == 0 {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(request.Jitter(retryBackoff << attempt)):
		return true
	}
}

func trimChangeIDs(ids []string) []string { return ids[max(len(ids)-maxStoredChangeIDs, 0):] }

// Delete removes a resource if its current version is version. The returned
// resource has only its kind, its name and the revision of the deletion as its
// version, or is the current one along with ErrConflict. Version 0 stands for a resource
// that does not exist, for which the error is ErrNotFound.
func (s *Store) Delete(ctx context.Context, kind catalog.Kind, name string, version int64) (catalog.Resource, error) {
	key := catalog.Key(kind, name)
	writeSent := false
	for attempt := range maxAttempts {
		if !waitBeforeRetry(ctx, attempt) {
			break
		}
		item, exists, rev, err := s.kv.Get(ctx, key)
		switch {
		case err != nil && !writeSent:
			return catalog.Resource{}, oops.Wrap(errors.Join(ErrStoreUnavailable, err))
		case err != nil:
			continue
		case !exists && writeSent:
			return catalog.Resource{Kind: kind, Name: name, Version: rev}, s.waitForView(ctx, rev, nil)
		}
		if !exists && version == 0 {
			return catalog.Resource{}, oops.Wrap(ErrNotFound)
		}
		current, _, err := compareStored(item, exists, version, "")
		if err != nil {
			return current, err
		}
		writeSent = true
		swap, err := s.kv.DeleteIf(ctx, key, version)
		if err == nil && swap.Succeeded {
			return catalog.Resource{Kind: kind, Name: name, Version: swap.Revision}, s.waitForView(ctx, swap.Revision, nil)
		}
	}
	return catalog.Resource{}, oops.Wrap(ErrOutcomeUnknown)
}

// waitForView waits up to viewWaitTimeout until the view contains the write, so
// that reads through this process see it. A non-nil err is returned unchanged.
func (s *Store) waitForView(ctx context.Context, version int64, err error) error {
	if err != nil {
		return err
	}
	deadline := time.Now().Add(viewWaitTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if rev, _ := s.view.Complete(); rev >= version {
			return nil
		}
		time.Sleep(viewPollInterval)
	}
	return nil
}

// Get reads a resource from the view.
func (s *Store) Get(kind catalog.Kind, name string) (catalog.Resource, bool) {
	it, ok := s.view.Get(catalog.Key(kind, name))
	if !ok {
		return catalog.Resource{}, false
	}
	r, err := catalog.Decode(it)
	return r, err == nil
}

// List reads all resources of a kind from the view.
func (s *Store) List(kind catalog.Kind) []catalog.Resource {
	resources := []catalog.Resource{}
	for _, it := range s.view.List(catalog.ConfigPrefix + string(kind) + "/") {
		if r, err := catalog.Decode(it); err == nil {
			resources = append(resources, r)
		}
	}
	return resources
}
