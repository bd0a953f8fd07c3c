package telemetry

import (
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// Dependency logs when something that the process needs is lost and when it
// is back, one line each however often it is tried between.
type Dependency struct {
	Name string // what it is, for the log
	Now  func() time.Time

	mu   sync.Mutex
	lost time.Time // zero while it is well
}

// Failed notes that a use of it failed with err.
func (d *Dependency) Failed(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost.IsZero() {
		return
	}
	d.lost = d.Now()
	klog.InfoS("dependency_lost", "name", d.Name, "err", err)
}

// Well notes that a use of it succeeded.
func (d *Dependency) Succeeded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost.IsZero() {
		return
	}
	klog.InfoS("dependency_back", "name", d.Name, "after_ms", d.Now().Sub(d.lost).Milliseconds())
	d.lost = time.Time{}
}

// LostFor is how long it has been lost; 0 while it is well.
func (d *Dependency) OutageDuration() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lost.IsZero() {
		return 0
	}
	return d.Now().Sub(d.lost)
}
