package test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/standin"
)

// book asks for a booking at the nodes in turn until it has a final answer, as
// a careful caller does: always by the same key.
func bookUntilFinal(b *testbed, key string, order ...int) (last response) {
	const tries = 12
	for try := range tries {
		a := bookingRequest(key).withHeader("Crankridge-Deadline-Ms", "4000")
		a.timeout = 2 * time.Second
		if try == 0 {
			a = a.withHeader("Crankridge-Attempt", "1")
		}
		last = b.nodes[order[try%len(order)]].send(a)
		if last.err == nil && (last.retryAfter == "" || last.status == http.StatusOK) {
			return last
		}
		<-time.After(100 * time.Millisecond) // a caller's pause
	}
	return last
}

// checkOnce compares what callers were told with what the service ran.
func checkOutcomes(t *testing.T, b *testbed, results map[string]response) (completed, unsure, notRun int) {
	t.Helper()
	runs := b.runCounts()
	for key, r := range results {
		n := runs[key]
		switch {
		case n > 1:
			t.Errorf("%s ran %d times", key, n)
		case r.outcome == "completed" && n != 1:
			t.Errorf("%s was told completed and ran %d times", key, n)
		case r.outcome == "not-run" && n != 0:
			t.Errorf("%s was told not-run and ran %d times", key, n)
		}
		switch r.outcome {
		case "completed":
			completed++
		case "may-have-run":
			unsure++
		case "not-run":
			notRun++
		}
	}
	return completed, unsure, notRun
}

// bookMany sends bookings from many callers, each first to node 0, while
// disturb happens.
func bookConcurrently(b *testbed, n int, disturb func()) map[string]response {
	results := map[string]response{}
	var mu sync.Mutex
	done := make(chan struct{})
	go func() {
		runConcurrently(n, func(i int) {
			key := fmt.Sprintf("booking-%d", i)
			<-time.After(time.Duration(i) * time.Millisecond) // callers arrive one after the other
			r := bookUntilFinal(b, key, 0, 1, 2)
			mu.Lock()
			results[key] = r
			mu.Unlock()
		})
		close(done)
	}()
	b.eventually("a third have run and others are on their way", func() bool { return len(b.runCounts()) >= n/3 })
	disturb()
	<-done
	return results
}

func TestBookingsRunOnceThroughFailures(t *testing.T) {
	slow := standin.ServiceFaults{DelayMS: 30}
	for _, c := range []struct {
		name    string
		disturb func(b *testbed)
		after   func(b *testbed)
		unsure  int // callers of n who may be left not knowing
	}{
		{"nothing happens", func(*testbed) {}, nil, 0},
		{"coordinator frozen, thawed later", func(b *testbed) { b.nodes[0].signal(syscall.SIGSTOP) }, func(b *testbed) { b.nodes[0].signal(syscall.SIGCONT) }, 300},
		{"coordinator killed", func(b *testbed) { b.nodes[0].kill() }, nil, 300},
		{"keeper frozen, thawed later", func(b *testbed) { b.nodes[3].signal(syscall.SIGSTOP) }, func(b *testbed) { b.nodes[3].signal(syscall.SIGCONT) }, 0},
		{"keeper killed", func(b *testbed) { b.nodes[3].kill() }, nil, 0},
		{"coordinator cut from its peers", func(b *testbed) { b.nodes[0].peerLink.disconnect() }, func(b *testbed) { b.nodes[0].peerLink.reconnect(b.t) }, 300},
		{"service resets before it runs", func(b *testbed) {
			b.postAdmin(b.services[0], "faults", standin.ServiceFaults{ResetBefore: 20, DelayMS: 30})
		}, nil, 20},
		{"service resets while the body arrives", func(b *testbed) {
			b.postAdmin(b.services[0], "faults", standin.ServiceFaults{ResetDuring: 20, DelayMS: 30})
		}, nil, 20},
		{"service resets after it ran", func(b *testbed) {
			b.postAdmin(b.services[0], "faults", standin.ServiceFaults{ResetAfter: 20, DelayMS: 30})
		}, nil, 20},
		{"service refuses for a while", func(b *testbed) { b.postAdmin(b.services[0], "faults", standin.ServiceFaults{Refuse: 20, DelayMS: 30}) }, nil, 0},
		{"service server lost", func(b *testbed) { b.svcLinks[0].disconnect() }, nil, 300},
		{"planned stop, killed in its midst", func(b *testbed) { b.nodes[0].signal(syscall.SIGTERM); b.nodes[0].kill() }, nil, 300},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newTestbed(t, options{nodes: 5, domains: 3, engines: 1, services: 2, modelServers: 1})
			for _, s := range b.services {
				b.postAdmin(s, "faults", slow)
			}
			const n = 300
			results := bookConcurrently(b, n, func() { c.disturb(b) })
			if c.after != nil {
				c.after(b)
				// What the thawed node still does, it does before it answers this.
				b.eventually("the node answers again", func() bool { return b.state(b.nodes[0]).Node.Name != "" && b.state(b.nodes[3]).Node.Name != "" })
				b.eventually("its requests have ended", func() bool { return b.state(b.nodes[0]).OpenRequests == 0 })
			}
			completed, unsure, notRun := checkOutcomes(t, b, results)
			t.Logf("%d callers: %d completed, %d may have run, %d not run", n, completed, unsure, notRun)
			is.Equal(completed+unsure+notRun, n) // every caller has an outcome
			is.True(unsure <= c.unsure)
			is.Equal(notRun, 0) // in the end there was always a node and a service to run it
		})
	}
}

// The transport must not send a booking again when a reused connection is
// reset after the bytes went out.
func TestNoSilentReplay(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, services: 1, modelServers: 1})
	is.Equal(b.nodes[0].send(bookingRequest("warm")).status, 200) // a connection that could be reused
	b.postAdmin(b.services[0], "faults", standin.ServiceFaults{ResetAfter: 1})
	r := b.nodes[0].send(bookingRequest("reset"))
	is.Equal(r.outcome, "may-have-run")
	is.Equal(b.runCounts()["reset"], 1)
	again := b.nodes[1].send(bookingRequest("reset"))
	is.Equal(again.outcome, "may-have-run") // the same fate at any node
	is.Equal(b.runCounts()["reset"], 1)
}

// A caller told "may have run" while the coordinator is frozen learns the
// answer by the same key, at the same node, once the coordinator is back.
func TestOutcomeAvailableAfterCoordinatorResumes(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 5, domains: 5, engines: 1, services: 1, modelServers: 1})
	b.postAdmin(b.services[0], "faults", standin.ServiceFaults{DelayMS: 400})
	first := bookingRequest("fate")
	first.timeout = time.Second
	done := make(chan struct{})
	go func() { b.nodes[0].send(first); close(done) }()
	b.eventually("the service runs it", func() bool { return b.runCounts()["fate"] == 1 })
	b.nodes[0].signal(syscall.SIGSTOP)
	<-done
	r := b.nodes[1].send(bookingRequest("fate"))
	is.Equal(r.outcome, "may-have-run")
	is.True(r.retryAfter != "")
	b.nodes[0].signal(syscall.SIGCONT)
	b.eventually("the same node gives the answer", func() bool { return b.nodes[1].send(bookingRequest("fate")).outcome == "completed" })
	is.Equal(b.runCounts()["fate"], 1)
}

// An engine that refuses before it starts has not run the request: it goes to
// another engine although it must not run twice.
func TestRequestRefusedByEngineIsRetried(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1})
	raw := `{"epoch": 1000000, "op": "unload", "name": "climb"}`
	resp, err := http.Post("http://"+b.engines[0].addr+"/v1/orders", "application/json", strings.NewReader(raw))
	is.NoErr(err)
	_ = resp.Body.Close()
	runConcurrently(30, func(i int) {
		r := b.nodes[i%3].send(chatRequest(longPrompt(i), 5, false).withHeader("Crankridge-Repeatable", "false").withHeader("Idempotency-Key", fmt.Sprintf("once-%d", i)))
		if r.outcome != "completed" {
			t.Errorf("%d: %d %s %s", i, r.status, r.outcome, r.body)
		}
	})
}

func TestAttach(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)
	for _, s := range b.services {
		b.postAdmin(s, "faults", standin.ServiceFaults{DelayMS: 300})
	}
	replies := make([]response, 9)
	runConcurrently(9, func(i int) { replies[i] = b.nodes[i%3].send(bookingRequest("same")) })
	for _, r := range replies {
		is.Equal(r.status, 200)
		is.Equal(r.body, replies[0].body)
	}
	is.Equal(b.runCounts()["same"], 1)

	stream := chatRequest("Notes for all.", 60, true).withHeader("Idempotency-Key", "notes")
	runConcurrently(9, func(i int) { replies[i] = b.nodes[i%3].send(stream) })
	streams := int64(0)
	for _, r := range replies {
		is.True(r.complete)
		is.Equal(r.tokens, replies[0].tokens)
	}
	for _, e := range b.engines {
		var totals standin.EngineTotals
		getJSON("http://"+e.addr+"/admin/totals", "", &totals)
		streams += totals.Streams
	}
	is.Equal(streams, int64(1)) // computed once for nine callers

	other := bookingRequest("same")
	other.bearer = rideKey
	is.Equal(b.nodes[0].send(other).status, 200) // another customer's key is another request
	is.Equal(b.runCounts()["same"], 2)

	var fate struct{ State, Outcome string }
	getJSON("http://"+b.nodes[2].callers+"/v1/requests/same", clinicKey, &fate)
	is.Equal(fate.State, "ended")
	is.Equal(fate.Outcome, "completed")
	getJSON("http://"+b.nodes[2].callers+"/v1/requests/notes", clinicKey, &fate)
	is.Equal(fate.State, "unknown") // a customer cannot see another's request
}

func TestKeyValueServiceDown(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 5, domains: 5, engines: 5, services: 2, modelServers: 1, ttl: "100ms"})
	b.kvFaults(standin.KVFaults{Down: true})
	serve := func(live []int, tag string) (completed, notRun, worst int) {
		results := make([]response, 60)
		runConcurrently(60, func(i int) {
			n := b.nodes[live[i%len(live)]]
			if i%2 == 0 {
				results[i] = n.send(chatRequest(fmt.Sprintf("%s %d", tag, i), 5, false))
			} else {
				results[i] = n.send(bookingRequest(fmt.Sprintf("%s-%d", tag, i)).withHeader("Crankridge-Attempt", "1"))
			}
		})
		for i, r := range results {
			switch {
			case r.outcome == "completed":
				completed++
			case i%2 == 1 && r.outcome == "not-run" && r.retryAfter != "":
				notRun++
				worst = max(worst, int(r.duration.Milliseconds()))
			default:
				t.Errorf("%s %d: %+v", tag, i, r)
			}
		}
		return completed, notRun, worst
	}
	completed, _, _ := serve([]int{0, 1, 2, 3, 4}, "down")
	is.Equal(completed, 60)
	b.nodes[4].kill()
	completed, _, _ = serve([]int{0, 1, 2, 3}, "one-lost")
	is.Equal(completed, 60) // two of three keepers are left everywhere
	b.nodes[3].kill()
	completed, notRun, worst := serve([]int{0, 1, 2}, "two-lost")
	t.Logf("two keepers lost, service down: %d completed, %d refused at once, slowest refusal %d ms", completed, notRun, worst)
	is.True(notRun > 0 && notRun < 30) // only the shards that lost two keepers refuse
	is.True(worst < 2000)
	runs := b.runCounts()
	is.True(!slices.ContainsFunc(mapValues(runs), func(n int) bool { return n > 1 }))
	for key := range runs {
		is.True(!strings.HasPrefix(key, "ck-"))
	}

	b.kvFaults(standin.KVFaults{})
	b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: nodeName(3), NoticeMS: 0})
	b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: nodeName(4), NoticeMS: 0})
	b.eventually("the shards are whole again", func() bool {
		s := b.state(b.nodes[0])
		return s.PassiveShards == 0 && len(s.Shards) == s.MapShards
	})
	is.Equal(b.nodes[0].send(bookingRequest("healed").withHeader("Crankridge-Attempt", "1")).status, 200)
}

func mapValues(m map[string]int) []int {
	var out []int
	for _, n := range m {
		out = append(out, n)
	}
	return out
}
