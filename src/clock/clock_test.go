package clock

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeSystem is a machine that can be suspended.
type fakeSystem struct{ suspended time.Duration }

func (f *fakeSystem) read() (boot, steady time.Duration, ok bool) {
	return time.Hour + f.suspended, time.Hour, true
}

// Guards against trusting a steady clock that stood still while the machine was
// suspended: what was believed before looked as fresh as ever.
func TestTimeCountsSuspension(t *testing.T) {
	is := is.New(t)
	machine := &fakeSystem{suspended: 5 * time.Second} // before this process started
	c := newClock(machine.read)
	before := c.exact()
	is.True(c.exact().Sub(before) < time.Second)
	var slept []time.Duration
	c.onResume = append(c.onResume, func(d time.Duration) { slept = append(slept, d) })
	machine.suspended += 4 * time.Second
	is.True(c.now().Sub(before) < time.Second) // not polled yet
	is.True(c.exact().Sub(before) > 3*time.Second)
	is.True(c.now().Sub(before) > 3*time.Second)
	is.Equal(slept, []time.Duration{4 * time.Second})
	c.poll()
	is.Equal(len(slept), 1)
}

// Guards against a request being held beyond its time limit by a suspension.
func TestDeadlinePassesDuringSuspension(t *testing.T) {
	is := is.New(t)
	machine := &fakeSystem{}
	c := newClock(machine.read)
	long, cancelLong := c.withDeadline(context.Background(), c.now().Add(time.Minute))
	short, cancelShort := c.withDeadline(context.Background(), c.now().Add(5*time.Second))
	machine.suspended = 6 * time.Second
	c.poll()
	<-short.Done()
	is.NoErr(long.Err())
	cancelShort()
	cancelLong()
	is.Equal(len(c.deadlines), 0)
}

func TestSystemClockAdvances(t *testing.T) {
	is := is.New(t)
	_, _, ok := readSystem()
	is.True(ok)
	start := Exact()
	is.True(Since(start) < time.Minute)
	is.True(Until(start.Add(time.Hour)) > 59*time.Minute)
}
