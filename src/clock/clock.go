// Package clock provides a steady time that goes on while the machine is suspended.
// The steady time of package time stands still then, while leases, reports and open
// connections age at their other ends. Times of this package must not be mixed with
// those of time.Now: subtract them with Since, Until or time.Time.Sub only.
package clock

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// PollInterval is how often Poll must be called.
const PollInterval = 100 * time.Millisecond

// minSuspension is the shortest suspension that is counted: smaller differences come from
// reading two clocks in turn.
const minSuspension = 20 * time.Millisecond

// Clock is a steady clock.
type Clock struct {
	// read returns the time since boot with and without suspensions. ok is false if
	// the system can't tell.
	read func() (boot, steady time.Duration, ok bool)

	suspended atomic.Int64 // total time in suspension since the process started, ns
	mu        sync.Mutex
	base      time.Duration // difference between the two readings at the start
	onResume  []func(time.Duration)
	deadlines map[*deadline]struct{}
}

// deadline is a context that must end at a time of the clock.
type deadline struct {
	at     time.Time
	cancel context.CancelFunc
}

func newClock(read func() (boot, steady time.Duration, ok bool)) *Clock {
	c := &Clock{read: read, deadlines: map[*deadline]struct{}{}}
	if boot, steady, ok := read(); ok {
		c.base = boot - steady
	}
	return c
}

// system is the clock of this process.
var system = newClock(readSystem)

func readSystem() (boot, steady time.Duration, ok bool) {
	var bootTime, steadyTime unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steadyTime) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime) != nil {
		return 0, 0, false
	}
	return time.Duration(bootTime.Nano()), time.Duration(steadyTime.Nano()), true
}

// now returns the current time, as of the last poll.
func (c *Clock) now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// exact returns the current time, and takes a suspension into account that ended just now.
func (c *Clock) exact() time.Time {
	c.poll()
	return c.now()
}

// poll detects a suspension that has ended since the last poll.
func (c *Clock) poll() {
	boot, steady, ok := c.read()
	if !ok {
		return
	}
	c.mu.Lock()
	suspended := boot - steady - c.base
	slept := suspended - time.Duration(c.suspended.Load())
	if slept < minSuspension {
		c.mu.Unlock()
		return
	}
	c.suspended.Store(int64(suspended))
	for d := range c.deadlines {
		time.AfterFunc(d.at.Sub(c.now()), d.cancel)
	}
	callbacks := append([]func(time.Duration){}, c.onResume...)
	c.mu.Unlock()
	klog.InfoS("resumed", "suspended_ms", slept.Milliseconds())
	for _, f := range callbacks {
		f(slept)
	}
}

// withDeadline is context.WithDeadline for a time of this clock.
func (c *Clock) withDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, at.Sub(c.now()))
	d := &deadline{at, cancel}
	c.mu.Lock()
	c.deadlines[d] = struct{}{}
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		delete(c.deadlines, d)
		c.mu.Unlock()
		cancel()
	}
}

// Now returns the current time. It may miss a suspension that ended less than
// PollInterval ago; Exact does not.
func Now() time.Time { return system.now() }

// Exact returns the current time at the cost of two system calls. Use it before acting
// on something that expires elsewhere.
func Exact() time.Time { return system.exact() }

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// WithDeadline is context.WithDeadline for a time of this package. After a suspension
// beyond the deadline, the context is canceled at once.
func WithDeadline(parent context.Context, at time.Time) (context.Context, context.CancelFunc) {
	return system.withDeadline(parent, at)
}

// OnResume registers a function to be called after each suspension, with its length.
func OnResume(f func(suspended time.Duration)) {
	system.mu.Lock()
	system.onResume = append(system.onResume, f)
	system.mu.Unlock()
}

// Poll detects a suspension that has ended. It must be called once per PollInterval.
func Poll() { system.poll() }
