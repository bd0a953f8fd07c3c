package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// interruptionAt returns an interruption some seconds after testStart, at a server that
// closes new connections since.
func interruptionAt(d Digest, server string, seconds float64) Interruption {
	c := crashAt(server, seconds)
	return Interruption{Digest: d, Server: server, StartedMS: 1, SentAt: c.SentAt, EndedAt: c.At, Unreachable: true}
}

// Guards against crashes that count as one because they are known only when their servers are
// back, later than the request was sent to the next one.
func TestCrashesKnownLateCountByTheEndOfTheRun(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	d := testDigest("one", "bad")
	const downtime = 2 * time.Second
	for i := range 3 {
		c := crashAt(fmt.Sprint("s-", i), float64(i)/2)
		c.At, c.EndedAt = c.At.Add(downtime), c.At
		l.RecordCrash(d, c)
	}
	is.True(l.Standing(d).Quarantined)
	decoded, err := DecodeState(d, l.suspects[d].state.Encode())
	is.NoErr(err)
	is.Equal(distinct(decoded.Crashes), 3)
	l.Complete(d, testStart.Add(1500*time.Millisecond)) // after the last run, before that server is back
	is.Equal(l.Standing(d), Standing{})
}

// Guards against a request being sent on and on while it is not known whether the servers that
// ran it have crashed.
func TestRequestIsHeldUntilInterruptionsAreExplained(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	d := testDigest("one", "bad")
	l.Interrupt(interruptionAt(d, "a", 1))
	l.SetReported([]Interruption{interruptionAt(d, "b", 2)}) // by another node
	is.True(l.Active())
	is.True(!l.Standing(d).Held)
	last := interruptionAt(d, "c", 3)
	last.Unreachable = false
	l.Interrupt(last)
	is.True(!l.Standing(d).Held)
	l.SetUnreachable(last, true)
	is.Equal(l.Standing(d), Standing{Held: true, Suspected: true, Possible: 3})
	is.Equal(len(l.Interruptions(1)), 1)
	l.Explain(last) // its server has not crashed
	is.Equal(l.Standing(d), Standing{Suspected: true, Possible: 2})
	l.Explain(interruptionAt(d, "a", 1))
	l.SetReported(nil)
	is.True(!l.Active())
}

// Guards against a popular request being held because of runs that ended together, or before
// it completed.
func TestInterruptionsOfPopularRequestDoNotHoldIt(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	d := testDigest("one", "popular")
	for i := range 6 {
		l.Interrupt(interruptionAt(d, fmt.Sprint("s-", i), 1+float64(i)/100))
	}
	is.True(!l.Standing(d).Held)
	l.Interrupt(interruptionAt(d, "a", 2))
	l.Interrupt(interruptionAt(d, "b", 3))
	is.True(l.Standing(d).Held)
	is.True(l.Complete(d, testStart.Add(3500*time.Millisecond)))
	is.True(!l.Standing(d).Held)
	is.Equal(l.Report(8)[0].Digest, d) // the others hear of it
}

// Guards against a request being held for interruptions that a quarantined one beside it explains.
func TestInterruptionsBesideQuarantinedRequestDoNotHold(t *testing.T) {
	is := is.New(t)
	l, _ := testList()
	bad, sound := testDigest("one", "bad"), testDigest("one", "sound")
	for i, server := range []string{"a", "b", "c", "d"} {
		l.RecordCrash(bad, crashAt(server, float64(i)))
	}
	for i, server := range []string{"a", "b", "c"} {
		l.Interrupt(interruptionAt(sound, server, float64(i)))
	}
	is.True(l.Standing(bad).Quarantined)
	is.True(!l.Standing(sound).Held)
}
