package telemetry

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Dependency tracks whether a service or peer that the process relies on is
// reachable. It logs one line when it becomes unavailable and one when it
// recovers, regardless of the number of attempts in between.
type Dependency struct {
	Name string // as shown in log lines
	Now  func() time.Time

	mu     sync.Mutex
	lostAt time.Time // zero while available
}

// Failed records a failed use.
func (d *Dependency) Failed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lostAt.IsZero() {
		return
	}
	d.lostAt = d.Now()
	klog.InfoS("dependency_lost", "name", d.Name, "err", err)
}

// Succeeded records a successful use.
func (d *Dependency) Succeeded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostAt.IsZero() {
		return
	}
	klog.InfoS("dependency_back", "name", d.Name, "after_ms", d.Now().Sub(d.lostAt).Milliseconds())
	d.lostAt = time.Time{}
}

// OutageDuration returns how long the dependency has been unavailable, or 0 while
// it is available.
func (d *Dependency) OutageDuration() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostAt.IsZero() {
		return 0
	}
	return d.Now().Sub(d.lostAt)
}
