package test

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/platform/fake"
)

const (
	joiningServers   = 6 // of a second version, beside two of the first
	streamsOutOfStep = 24
)

// Guards against ORDER of issue 44: a node that was out of step for a moment took the one version
// that it knew for the only one, while servers of another joined and streams began there.
func TestNodeOutOfStepTakesNoVersionForTheOnlyOne(t *testing.T) {
	for name, c := range map[string]struct {
		outOfStep time.Duration
		stands    bool // its process is stopped, and reaches the store again; else it is cut off
	}{
		"stands-0.1s": {100 * time.Millisecond, true}, "stands-0.3s": {300 * time.Millisecond, true}, "stands-1.1s": {1100 * time.Millisecond, true},
		"cut-0.1s": {100 * time.Millisecond, false}, "cut-1.1s": {1100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // mostly waits
			is := is.New(t)
			b := newVersionBed(t, "v1", "v1")
			b.atOnceLimit = streamsOutOfStep
			b.store.SetFaults(fake.Faults{NoLeases: true}) // the nodes never hear of each other
			toStore := newLink(t, "step-store-"+name, b.store.Address())
			stepping, n := b.startProcessNodeAt(toStore.addr, "stepping")
			_, other := b.startProcessNode("other")
			b.eventually("the history is stored", func() bool { return len(b.store.Keys(versionHistory)) == 1 })
			b.eventually("streams begin", func() bool { return b.beginsStream(n, "p-1") && b.beginsStream(other, "p-2") })
			time.Sleep(time.Second) // until the node's copy of the store is complete
			left := time.Now()
			if c.stands {
				stepping.signal(syscall.SIGSTOP)
			} else {
				toStore.disconnect()
			}
			for i := range joiningServers {
				b.addServer(fmt.Sprint("i-new-", i), "v2")
			}
			b.setBehavior(fake.TruncatedStream)
			streams := b.beginUntil(other, left.Add(c.outOfStep))
			b.setBehavior(fake.Healthy)
			if c.stands {
				stepping.signal(syscall.SIGCONT)
			}
			ended := b.takeUpAll(streams, []*gatewayNode{n})
			within, takenUp := b.mixed(streams)
			t.Logf("of %d streams %d went on at another version within an answer and %d when taken up; %d ended", len(streams), within, takenUp, ended)
			is.Equal(within, 0)
			is.Equal(takenUp, 0)
		})
	}
}

// beginsStream reports whether a new stream begins at a node.
func (b *versionBed) beginsStream(n *gatewayNode, name string) bool {
	got := b.takeUp(brokenStream{body: "b"}, fmt.Sprint(name, "-", time.Now().UnixNano()), n)
	return got.err == nil && got.status == http.StatusOK
}

// beginUntil begins streams at a node, streamsOutOfStep at a time, until the given time, and returns
// those that broke after an event.
func (b *versionBed) beginUntil(n *gatewayNode, end time.Time) []brokenStream {
	var out []brokenStream
	for round := 0; round == 0 || time.Now().Before(end); round++ {
		out = append(out, b.breakStreams(n, fmt.Sprint("s-", round), streamsOutOfStep)...)
	}
	return out[max(len(out)-2*streamsOutOfStep, 0):]
}
