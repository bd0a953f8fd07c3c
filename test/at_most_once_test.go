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

// bookUntilFinal sends a booking to the nodes in turn, always with the same
// idempotency key, until the response is final.
func bookUntilFinal(b *testbed, key string, order ...int) (last response) {
	const attempts = 12
	for attempt := range attempts {
		req := bookingRequest(key).withHeader("Crankridge-Deadline-Ms", "4000")
		req.timeout = 2 * time.Second
		if attempt == 0 {
			req = req.withHeader("Crankridge-Attempt", "1")
		}
		last = b.nodes[order[attempt%len(order)]].send(req)
		if last.err == nil && (last.retryAfter == "" || last.status == http.StatusOK) {
			return last
		}
		<-time.After(100 * time.Millisecond) // backoff
	}
	return last
}

// checkOutcomes compares the outcomes reported to callers with what the service ran
// and counts them.
func checkOutcomes(t *testing.T, b *testbed, results map[string]response) (completed, mayHaveRun, notRun int) {
	t.Helper()
	runs := b.runCounts()
	for key, r := range results {
		n := runs[key]
		switch {
		case n > 1:
			t.Errorf("%s ran %d times", key, n)
		case r.outcome == "completed" && n != 1:
			t.Errorf("%s was reported completed but ran %d times", key, n)
		case r.outcome == "not-run" && n != 0:
			t.Errorf("%s was reported not-run but ran %d times", key, n)
		}
		switch r.outcome {
		case "completed":
			completed++
		case "may-have-run":
			mayHaveRun++
		case "not-run":
			notRun++
		}
	}
	return completed, mayHaveRun, notRun
}

// bookConcurrently sends bookings from n callers, each to node 0 first, and calls
// disturb once a third of them have run.
func bookConcurrently(b *testbed, n int, disturb func()) map[string]response {
	results := map[string]response{}
	var mu sync.Mutex
	done := make(chan struct{})
	go func() {
		runConcurrently(n, func(i int) {
			key := fmt.Sprintf("booking-%d", i)
			<-time.After(time.Duration(i) * time.Millisecond) // staggered arrivals
			r := bookUntilFinal(b, key, 0, 1, 2)
			mu.Lock()
			results[key] = r
			mu.Unlock()
		})
		close(done)
	}()
	b.eventually("a third of the bookings have run", func() bool { return len(b.runCounts()) >= n/3 })
	disturb()
	<-done
	return results
}

// No booking may run twice, or run and be reported as not run, whatever fails while
// it is in progress.
func TestBookingsRunOnceThroughFailures(t *testing.T) {
	slow := standin.ServiceFaults{DelayMS: 30}
	for _, c := range []struct {
		name          string
		disturb       func(b *testbed)
		after         func(b *testbed)
		maxMayHaveRun int // callers whose final outcome may be may-have-run
	}{
		{"no fault", func(*testbed) {}, nil, 0},
		{"coordinator paused and resumed", func(b *testbed) { b.nodes[0].signal(syscall.SIGSTOP) }, func(b *testbed) { b.nodes[0].signal(syscall.SIGCONT) }, 300},
		{"coordinator killed", func(b *testbed) { b.nodes[0].kill() }, nil, 300},
		{"keeper paused and resumed", func(b *testbed) { b.nodes[3].signal(syscall.SIGSTOP) }, func(b *testbed) { b.nodes[3].signal(syscall.SIGCONT) }, 0},
		{"keeper killed", func(b *testbed) { b.nodes[3].kill() }, nil, 0},
		{"coordinator disconnected from its peers", func(b *testbed) { b.nodes[0].peerLink.disconnect() }, func(b *testbed) { b.nodes[0].peerLink.reconnect(b.t) }, 300},
		{"service resets before it runs", func(b *testbed) {
			b.postAdmin(b.services[0], "faults", standin.ServiceFaults{ResetBefore: 20, DelayMS: 30})
		}, nil, 20},
		{"service resets while it reads the body", func(b *testbed) {
			b.postAdmin(b.services[0], "faults", standin.ServiceFaults{ResetDuring: 20, DelayMS: 30})
		}, nil, 20},
		{"service resets after it ran", func(b *testbed) {
			b.postAdmin(b.services[0], "faults", standin.ServiceFaults{ResetAfter: 20, DelayMS: 30})
		}, nil, 20},
		{"service refuses for a while", func(b *testbed) { b.postAdmin(b.services[0], "faults", standin.ServiceFaults{Refuse: 20, DelayMS: 30}) }, nil, 0},
		{"service server unreachable", func(b *testbed) { b.svcLinks[0].disconnect() }, nil, 300},
		{"killed during a graceful stop", func(b *testbed) { b.nodes[0].signal(syscall.SIGTERM); b.nodes[0].kill() }, nil, 300},
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
				// Wait until the resumed node has finished what it was doing.
				b.eventually("the node responds again", func() bool { return b.state(b.nodes[0]).Node.Name != "" && b.state(b.nodes[3]).Node.Name != "" })
				b.eventually("its requests have finished", func() bool { return b.state(b.nodes[0]).OpenRequests == 0 })
			}
			completed, mayHaveRun, notRun := checkOutcomes(t, b, results)
			t.Logf("%d callers: %d completed, %d may have run, %d not run", n, completed, mayHaveRun, notRun)
			is.Equal(completed+mayHaveRun+notRun, n) // every caller has an outcome
			is.True(mayHaveRun <= c.maxMayHaveRun)
			is.Equal(notRun, 0) // each booking found a working node and service in the end
		})
	}
}

// The HTTP transport must not replay a booking when a reused connection is reset
// after the request was sent.
func TestNoSilentReplay(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 1, services: 1, modelServers: 1})
	is.Equal(b.nodes[0].send(bookingRequest("warm")).status, 200) // leaves an idle connection to reuse
	b.postAdmin(b.services[0], "faults", standin.ServiceFaults{ResetAfter: 1})
	r := b.nodes[0].send(bookingRequest("reset"))
	is.Equal(r.outcome, "may-have-run")
	is.Equal(b.runCounts()["reset"], 1)
	second := b.nodes[1].send(bookingRequest("reset"))
	is.Equal(second.outcome, "may-have-run") // every node reports the same outcome
	is.Equal(b.runCounts()["reset"], 1)
}

// A caller that got may-have-run while the coordinator was paused gets the final
// response with the same key, from the same node, once the coordinator resumes.
func TestOutcomeAvailableAfterCoordinatorResumes(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 5, domains: 5, engines: 1, services: 1, modelServers: 1})
	b.postAdmin(b.services[0], "faults", standin.ServiceFaults{DelayMS: 400})
	first := bookingRequest("fate")
	first.timeout = time.Second
	done := make(chan struct{})
	go func() { b.nodes[0].send(first); close(done) }()
	b.eventually("the service runs the booking", func() bool { return b.runCounts()["fate"] == 1 })
	b.nodes[0].signal(syscall.SIGSTOP)
	<-done
	r := b.nodes[1].send(bookingRequest("fate"))
	is.Equal(r.outcome, "may-have-run")
	is.True(r.retryAfter != "")
	b.nodes[0].signal(syscall.SIGCONT)
	b.eventually("the same node returns the final response", func() bool { return b.nodes[1].send(bookingRequest("fate")).outcome == "completed" })
	is.Equal(b.runCounts()["fate"], 1)
}

// A request that an engine refuses before starting has not run, so it goes to
// another engine even if it must not run twice.
func TestRequestRefusedByEngineIsRetried(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 3, modelServers: 1})
	order := `{"epoch": 1000000, "op": "unload", "name": "climb"}`
	resp, err := http.Post("http://"+b.engines[0].addr+"/v1/orders", "application/json", strings.NewReader(order))
	is.NoErr(err)
	_ = resp.Body.Close()
	runConcurrently(30, func(i int) {
		r := b.nodes[i%3].send(chatRequest(longPrompt(i), 5, false).withHeader("Crankridge-Repeatable", "false").withHeader("Idempotency-Key", fmt.Sprintf("once-%d", i)))
		if r.outcome != "completed" {
			t.Errorf("%d: %d %s %s", i, r.status, r.outcome, r.body)
		}
	})
}

// Concurrent requests with the same key share one execution.
func TestAttach(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, smallSystem)
	for _, s := range b.services {
		b.postAdmin(s, "faults", standin.ServiceFaults{DelayMS: 300})
	}
	responses := make([]response, 9)
	runConcurrently(9, func(i int) { responses[i] = b.nodes[i%3].send(bookingRequest("same")) })
	for _, r := range responses {
		is.Equal(r.status, 200)
		is.Equal(r.body, responses[0].body)
	}
	is.Equal(b.runCounts()["same"], 1)

	stream := chatRequest("Notes for all.", 60, true).withHeader("Idempotency-Key", "notes")
	runConcurrently(9, func(i int) { responses[i] = b.nodes[i%3].send(stream) })
	streams := int64(0)
	for _, r := range responses {
		is.True(r.complete)
		is.Equal(r.tokens, responses[0].tokens)
	}
	for _, e := range b.engines {
		var totals standin.EngineTotals
		getJSON("http://"+e.addr+"/admin/totals", "", &totals)
		streams += totals.Streams
	}
	is.Equal(streams, int64(1)) // one execution for nine callers

	other := bookingRequest("same")
	other.bearer = rideKey
	is.Equal(b.nodes[0].send(other).status, 200) // the same key of another customer is another request
	is.Equal(b.runCounts()["same"], 2)

	var status struct{ State, Outcome string }
	getJSON("http://"+b.nodes[2].callers+"/v1/requests/same", clinicKey, &status)
	is.Equal(status.State, "ended")
	is.Equal(status.Outcome, "completed")
	getJSON("http://"+b.nodes[2].callers+"/v1/requests/notes", clinicKey, &status)
	is.Equal(status.State, "unknown") // a customer cannot see another's request
}

// While the key-value service is down, shards with two of their three keepers must
// serve and others must refuse without delay; all must recover with the service.
func TestKeyValueServiceDown(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 5, domains: 5, engines: 5, services: 2, modelServers: 1, ttl: "100ms"})
	b.kvFaults(standin.KVFaults{Down: true})
	serve := func(live []int, tag string) (completed, notRun, slowestMS int) {
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
				slowestMS = max(slowestMS, int(r.duration.Milliseconds()))
			default:
				t.Errorf("%s %d: %+v", tag, i, r)
			}
		}
		return completed, notRun, slowestMS
	}
	completed, _, _ := serve([]int{0, 1, 2, 3, 4}, "down")
	is.Equal(completed, 60)
	b.nodes[4].kill()
	completed, _, _ = serve([]int{0, 1, 2, 3}, "one-lost")
	is.Equal(completed, 60) // every shard has at least two of its three keepers
	b.nodes[3].kill()
	completed, notRun, slowestMS := serve([]int{0, 1, 2}, "two-lost")
	t.Logf("two nodes lost, key-value service down: %d completed, %d refused, slowest refusal %d ms", completed, notRun, slowestMS)
	is.True(notRun > 0 && notRun < 30) // only shards that lost two keepers refuse
	is.True(slowestMS < 2000)
	runs := b.runCounts()
	is.True(!slices.ContainsFunc(mapValues(runs), func(n int) bool { return n > 1 }))
	for key := range runs {
		is.True(!strings.HasPrefix(key, "ck-")) // no booking ran under a key issued by a node
	}

	b.kvFaults(standin.KVFaults{})
	b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: nodeName(3), NoticeMS: 0})
	b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{Name: nodeName(4), NoticeMS: 0})
	b.eventually("all shards are active again", func() bool {
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
