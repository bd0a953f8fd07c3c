package upstream

import (
	"slices"
	"time"

	"github.com/crankridge/crankridge/src/engine"
)

// Rest excludes an upstream that has asked for it for the given time, or until an earlier
// rest ends that lasts longer.
func (r *Registry) Rest(name string, rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[name]
	if u == nil {
		return
	}
	if until := r.now().Add(rest); until.After(u.restUntil) {
		u.restUntil = until
	}
}

// ModelRestWait returns the time until the first engine of a model takes requests again,
// or 0 unless all that are not leaving rest.
func (r *Registry) ModelRestWait(model string) time.Duration {
	return r.restWait(func(u *Upstream) bool {
		return u.Kind == KindEngine && slices.ContainsFunc(u.Models, func(m engine.LoadedModel) bool { return m.Name == model })
	})
}

// ServiceRestWait is ModelRestWait for the servers of a plain service.
func (r *Registry) ServiceRestWait(service string) time.Duration {
	return r.restWait(func(u *Upstream) bool { return u.Kind == KindService && u.Service == service })
}

func (r *Registry) restWait(match func(*Upstream) bool) (wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		if !match(u) || u.isLeaving() {
			continue
		}
		left := u.restUntil.Sub(r.now())
		if left <= 0 {
			return 0
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}
