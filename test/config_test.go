package test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/control"
	"github.com/crankridge/crankridge/src/event"
	"github.com/crankridge/crankridge/src/operator"
	"github.com/crankridge/crankridge/src/standin"
)

// versionMonitor polls the versions in force on every node and records each one
// that decreases.
type versionMonitor struct {
	mu          sync.Mutex
	seen        map[string]map[string]int64 // by node, then key
	regressions []string
	stop        chan struct{}
	done        sync.WaitGroup
}

func (b *testbed) monitorVersions(nodes []*node) *versionMonitor {
	m := &versionMonitor{seen: map[string]map[string]int64{}, stop: make(chan struct{})}
	for _, n := range nodes {
		m.seen[n.name] = map[string]int64{}
		m.done.Go(func() {
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for {
				m.record(n.name, b.state(n).Versions)
				select {
				case <-m.stop:
					return
				case <-tick.C:
				}
			}
		})
	}
	return m
}

func (m *versionMonitor) record(name string, versions map[string]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for key, v := range versions {
		if v < m.seen[name][key] {
			m.regressions = append(m.regressions, fmt.Sprintf("%s %s %d after %d", name, key, v, m.seen[name][key]))
		}
		m.seen[name][key] = v
	}
}

func (m *versionMonitor) finish() []string {
	close(m.stop)
	m.done.Wait()
	return m.regressions
}

// Four operators change the same resources while the key-value service is
// unavailable, drops responses or serves stale reads. No accepted change may be
// lost, reverted or made twice, and all come into force on all nodes.
func TestRacingOperatorsDuringOutages(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 9, domains: 4, engines: 1, services: 1, modelServers: 0, controls: 2})
	m := b.monitorVersions(b.nodes)
	const writers, perWriter = 4, 50
	type accepted struct {
		version int64
		bytes   int64
		name    string
	}
	var mu sync.Mutex
	var all []accepted
	var rolloutTimes []time.Duration
	stopFaults := make(chan struct{})
	faultsStopped := make(chan struct{})
	go func() {
		defer close(faultsStopped)
		for i := 0; ; i++ {
			f := []standin.KVFaults{{DropResponses: 3}, {Down: true}, {}, {DelayMS: 150}, {DropResponses: 2, StaleReads: true}, {}}[i%6]
			b.kvFaults(f)
			select {
			case <-stopFaults:
				b.kvFaults(standin.KVFaults{})
				return
			case <-time.After(250 * time.Millisecond):
			}
		}
	}()
	runConcurrently(writers, func(w int) {
		rng := rand.New(rand.NewPCG(uint64(w), 1))
		for i := range perWriter {
			name := fmt.Sprintf("m%d", rng.IntN(5))
			bytes := int64(w*1000 + i + 1)
			r := catalog.Resource{Kind: catalog.KindModel, Name: name, Model: &catalog.Model{Bytes: bytes, Version: "1"}}
			change := fmt.Sprintf("w%d-%d", w, i)
			stored := b.putUntilAccepted(w%2, r, change)
			mu.Lock()
			all = append(all, accepted{stored.Version, stored.Model.Bytes, name})
			mu.Unlock()
			if i%10 == 0 {
				start := time.Now()
				b.eventually("in force on all nodes", func() bool { s := b.rolloutStatus(stored.Version); return s.Nodes == 9 && s.Have == 9 })
				mu.Lock()
				rolloutTimes = append(rolloutTimes, time.Since(start))
				mu.Unlock()
			}
		}
	})
	close(stopFaults)
	<-faultsStopped
	is.Equal(len(all), writers*perWriter)
	last := map[string]int64{}
	for _, a := range all {
		last[a.name] = max(last[a.name], a.version)
	}
	b.eventually("all nodes have the last accepted versions", func() bool {
		for _, n := range b.nodes {
			v := b.state(n).Versions
			for name, want := range last {
				if v["crankridge/config/model/"+name] != want {
					return false
				}
			}
		}
		return true
	})
	is.Equal(m.finish(), nil) // no version decreased on any node
	slices.Sort(rolloutTimes)
	t.Logf("%d changes accepted; time until in force on 9 nodes during faults: p50 %d ms, max %d ms", len(all),
		rolloutTimes[len(rolloutTimes)/2].Milliseconds(), rolloutTimes[len(rolloutTimes)-1].Milliseconds())
}

// putUntilAccepted reads and replaces a resource, and repeats the same change after
// a lost response.
func (b *testbed) putUntilAccepted(control int, r catalog.Resource, change string) catalog.Resource {
	var stored catalog.Resource
	version := int64(-1)
	b.eventually("change "+change, func() bool {
		if version < 0 {
			var current catalog.Resource
			if s := getJSON(b.resourceURL(control, r), token, &current); s != http.StatusOK && s != http.StatusNotFound {
				return false
			}
			version = current.Version
		}
		status, got := b.putResource(control, r, version, change)
		if status == http.StatusPreconditionFailed {
			version = -1 // concurrent change: read again
		}
		stored = got
		return status == http.StatusOK
	})
	return stored
}

// A change based on an outdated version must be refused, and a repeated change must
// be applied once.
func TestConcurrentOperatorChangeIsRefused(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, controls: 2})
	model := func(bytes int64) catalog.Resource {
		return catalog.Resource{Kind: catalog.KindModel, Name: "m", Model: &catalog.Model{Bytes: bytes, Version: "1"}}
	}
	_, first := b.putResource(0, model(1), 0, "one")
	status, repeated := b.putResource(1, model(1), 0, "one") // the same change ID through another process, as after a lost response
	is.Equal(status, http.StatusOK)
	is.Equal(repeated.Version, first.Version)
	status, _ = b.putResource(0, model(2), first.Version, "two")
	is.Equal(status, http.StatusOK)
	status, _ = b.putResource(1, model(3), first.Version, "three")
	is.Equal(status, http.StatusPreconditionFailed)

	b.kvFaults(standin.KVFaults{DropResponses: 1})
	var current catalog.Resource
	getJSON(b.resourceURL(0, model(0)), token, &current)
	status, stored := b.putResource(0, model(4), current.Version, "four") // the store's response is lost
	is.Equal(status, http.StatusOK)
	is.Equal(stored.Model.Bytes, int64(4))
	is.Equal(stored.Version, current.Version+1) // applied once

	b.kvFaults(standin.KVFaults{Down: true})
	start := time.Now()
	status, _ = b.putResource(0, model(5), stored.Version, "five")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(time.Since(start) < 2*time.Second) // refused without waiting for timeouts
}

// A node that is disconnected from the key-value service, or starts during its
// outage, must get changes and deletions from its peers.
func TestNodeCutOffFromKeyValueService(t *testing.T) {
	is := is.New(t)
	o := options{nodes: 4, domains: 2, engines: 2, services: 1, modelServers: 0}
	b := newTestbed(t, o)
	b.nodes[3].kvLink.disconnect()
	start := time.Now()
	version := b.apply(catalog.Resource{Kind: catalog.KindModel, Name: "late", Model: &catalog.Model{Bytes: 1, Version: "1"}})
	b.eventually("in force on the disconnected node", func() bool { return b.rolloutStatus(version).Have == 4 })
	t.Logf("in force on a node disconnected from the key-value service after %d ms", time.Since(start).Milliseconds())
	is.True(time.Since(start) < 5*time.Second)
	s := b.state(b.nodes[3])
	is.Equal(s.RevisionSource, "peer")

	req, _ := http.NewRequest(http.MethodDelete, b.resourceURL(0, catalog.Resource{Kind: "model", Name: "late"}), nil)
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("If-Match", fmt.Sprint(version))
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	b.eventually("deleted on the disconnected node", func() bool { _, ok := b.state(b.nodes[3]).Versions["crankridge/config/model/late"]; return !ok })

	b.kvFaults(standin.KVFaults{Down: true})
	added := b.addNode(o, 4)
	b.eventually("a node started during the outage is ready", func() bool {
		return getJSON("http://"+added.callers+"/readyz", "", nil) == http.StatusOK
	})
	is.Equal(b.state(added).RevisionSource, "peer")
	is.Equal(added.send(chatRequest("hello", 3, false)).status, http.StatusOK)
	is.Equal(added.send(bookingRequest("late")).status, http.StatusOK)
	for _, n := range b.nodes[:4] {
		is.Equal(len(b.state(n).Nodes), 4) // the outage removed no node
	}
}

// A watch must deliver every change in order, and must be refused if it starts
// before the first revision the process knows.
func TestWatchHasNoGap(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, controls: 2})
	resp, err := http.DefaultClient.Do(b.watchRequest(1, b.completeRevision()))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var want, got []int64
	for i := range 20 {
		want = append(want, b.apply(catalog.Resource{Kind: catalog.KindModel, Name: "w", Model: &catalog.Model{Bytes: int64(i + 1), Version: "1"}}))
	}
	dec := json.NewDecoder(resp.Body)
	for len(got) < len(want) {
		var c operator.Change
		is.NoErr(dec.Decode(&c))
		if c.Type == operator.TypePut && c.Name == "w" {
			got = append(got, c.Version)
		}
	}
	is.Equal(got, want)
	b.controlProcs[1].kill()
	b.controlProcs[1].launch("crank-control")
	b.eventually("crank-control has restarted", func() bool { return b.completeRevision() > 0 })
	old, err := http.DefaultClient.Do(b.watchRequest(1, 0))
	is.NoErr(err)
	is.Equal(old.StatusCode, http.StatusGone) // from is older than the new process's history
	_ = old.Body.Close()
}

// completeRevision returns the revision up to which the second crank-control has all
// changes.
func (b *testbed) completeRevision() int64 {
	var s control.State
	getJSON("http://"+b.controls[1]+"/debug/state", token, &s)
	return s.CompleteRevision
}

func (b *testbed) watchRequest(control int, from int64) *http.Request {
	req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/watch?from=%d", b.controls[control], from), nil)
	req.Header.Set("Authorization", "Bearer "+token)
	return req
}

const vmOffers = `
    - {class: gpu, failure_domain: fd-a, reclaimable: true, hour_price: 1, reclaim_per_day: 0.2, boot: 300ms}
    - {class: gpu, failure_domain: fd-b, reclaimable: true, hour_price: 1, reclaim_per_day: 0.2, boot: 300ms}
    - {class: gpu, failure_domain: fd-c, reclaimable: true, hour_price: 1, reclaim_per_day: 0.2, boot: 300ms}
    - {class: gpu, failure_domain: fd-a, reclaimable: false, hour_price: 3, boot: 300ms}
    - {class: gpu, failure_domain: fd-b, reclaimable: false, hour_price: 3, boot: 300ms}
    - {class: gpu, failure_domain: fd-c, reclaimable: false, hour_price: 3, boot: 300ms}
`

func (b *testbed) controlState(i int) control.State {
	var s control.State
	getJSON("http://"+b.controls[i]+"/debug/state", token, &s)
	return s
}

func (b *testbed) cloudCost() standin.CloudCost {
	var c standin.CloudCost
	getJSON("http://"+b.cloud+"/admin/cost", "", &c)
	return c
}

func (b *testbed) eventStatus(name string) event.Status {
	var list []event.Status
	for _, addr := range b.controls {
		if getJSON("http://"+addr+"/v1/status/events", token, &list) == http.StatusOK {
			break
		}
	}
	for _, s := range list {
		if s.Name == name {
			return s
		}
	}
	return event.Status{}
}

func newEvent(name string, start time.Time, servers int) catalog.Resource {
	return catalog.Resource{Kind: catalog.KindEvent, Name: name, Event: &catalog.Event{
		Start: start, End: start.Add(time.Hour), Models: []catalog.EventModel{{Name: "climb", Servers: servers}},
		Customers: []catalog.EventCustomer{{Name: "rides", FirstTokenMS: 810}}, Priority: 5, CostWeight: 0.8,
	}}
}

// A planner that was paused past its lease must have no effect after it resumes,
// and no VM may be bought twice.
func TestPlannerFrozenPastItsLease(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 0, modelServers: 2, controls: 2, offers: vmOffers, control: ", lease: 2s, most_servers: 50"})
	b.eventually("the planner has bought the required VMs", func() bool { return b.cloudCost().Active >= 3+3 }) // 3 VMs run the entry nodes
	leader := slices.IndexFunc([]int{0, 1}, func(i int) bool { return b.controlState(i).Leading })
	oldEpoch := b.controlState(leader).Epoch
	b.controlProcs[leader].signal(syscall.SIGSTOP)
	b.eventually("the other crank-control leads", func() bool { s := b.controlState(1 - leader); return s.Leading && s.Epoch > oldEpoch })
	b.createVia(1-leader, newEvent("rides", time.Now().Add(5*time.Second), 3))
	b.controlProcs[leader].signal(syscall.SIGCONT)
	b.eventually("the event is ready or in force", func() bool {
		p := b.eventStatus("rides").Phase
		return p == event.Ready || p == event.InForce
	})
	is.True(!b.controlState(leader).Leading)
	// climb needs 5 servers after the loss of a domain: 3 + 3 + 2 in 3 domains.
	running := b.cloudCost().Active - 3
	is.Equal(running, 8)
	is.Equal(b.cloudCost().Bought, running) // none bought in excess, none released
}

// createVia creates a resource through the given crank-control.
func (b *testbed) createVia(control int, r catalog.Resource) {
	b.eventually("apply "+r.Name, func() bool {
		status, _ := b.putResource(control, r, 0, "")
		return status == http.StatusOK
	})
}

// A planner killed at any step between buying and announcing must leave no
// orphaned VM; the next planner uses what was bought.
func TestPlannerKilledAtEveryStep(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 0, modelServers: 0, controls: 2, offers: vmOffers, control: ", lease: 2s, most_servers: 50"})
	b.postAdmin(b.cloud, "faults", standin.CloudFaults{DropResponses: 4, LagMS: 700})
	b.createVia(0, newEvent("rides", time.Now().Add(time.Second), 4))
	for i := range 6 {
		first := i % 2
		b.eventually("a planner leads", func() bool { return b.controlState(first).Leading || b.controlState(1-first).Leading })
		victim := 0
		if b.controlState(1).Leading {
			victim = 1
		}
		<-time.After(time.Duration(60+i*70) * time.Millisecond) // a different step each time
		b.controlProcs[victim].kill()
		b.controlProcs[victim].launch("crank-control")
	}
	b.eventually("the event is in force", func() bool { return b.eventStatus("rides").Phase == event.InForce })
	b.postAdmin(b.cloud, "faults", standin.CloudFaults{})
	b.eventually("the cloud runs exactly the planned VMs", func() bool {
		leader := b.controlState(0)
		if !leader.Leading {
			leader = b.controlState(1)
		}
		return leader.Leading && len(leader.Intents) == 6 && b.cloudCost().Active == 3+6
	})
	is.Equal(b.cloudCost().Active, 9)
}

// A failure domain is reclaimed as an event starts while replacements are refused:
// the event is reported as degraded and recovers in other domains.
func TestReclaimWaveAsEventStarts(t *testing.T) {
	is := is.New(t)
	b := newTestbed(t, options{nodes: 3, domains: 3, engines: 0, services: 0, modelServers: 0, controls: 1, offers: vmOffers, control: ", most_servers: 50"})
	b.createVia(0, newEvent("rides", time.Now().Add(6*time.Second), 4))
	b.eventually("ready before the start", func() bool { return b.eventStatus("rides").Phase == event.Ready })
	b.eventually("in force", func() bool { return b.eventStatus("rides").Phase == event.InForce })
	b.postAdmin(b.cloud, "faults", standin.CloudFaults{Refuse: []string{"all"}})
	start := time.Now()
	b.postAdmin(b.cloud, "reclaim", standin.ReclaimRequest{FailureDomain: "fd-b", Role: "engine", NoticeMS: 500})
	b.eventually("degraded", func() bool { return b.eventStatus("rides").Phase == event.Degraded })
	detected := time.Since(start)
	b.eventually("the reason names the refusal", func() bool {
		return strings.Contains(strings.Join(b.eventStatus("rides").Reasons, " "), "refuses")
	})
	responses := b.sendStreams(30, 10, nil)
	for _, r := range responses {
		is.True(r.complete) // the remaining domains serve the event's customers
	}
	b.postAdmin(b.cloud, "faults", standin.CloudFaults{Refuse: []string{"fd-b"}})
	b.eventually("recovered in other domains", func() bool { return b.eventStatus("rides").Phase == event.InForce })
	t.Logf("degraded after %d ms, recovered %d ms after the wave, cost so far %+v", detected.Milliseconds(), time.Since(start).Milliseconds(), b.cloudCost())
	is.True(detected < 3*time.Second)
}
