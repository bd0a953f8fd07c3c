// Package member owns who the nodes are: their records in the key-value
// service, what they tell each other, and which of them are suspected.
package member

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/view"
)

// Prefix is where node records stand; GoneKey lists VMs that run no more.
const (
	Prefix           = view.Prefix + "nodes/"
	TerminatedVMsKey = view.Prefix + "gone"
)

// Node is a node's record.
type Node struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	VM            string `json:"vm,omitempty"`
	FailureDomain string `json:"fd"`
	Region        string `json:"region,omitempty"`
	Callers       string `json:"callers"`
	Peers         string `json:"peers"`
	Operators     string `json:"operators"`
	Leaving       bool   `json:"leaving,omitempty"`
}

// Key is the place of the record in the key space.
func (n Node) Key() string { return Prefix + n.Name }

func decodeNode(it ports.Item) (Node, error) {
	var n Node
	err := json.Unmarshal(it.Value, &n)
	return n, err
}

const (
	// heardFor keeps a node whose record is missing for as long as it is heard.
	heardFor = 10 * time.Second
	// suspectFor is how long a failed call steers work away.
	suspectFor = 3 * time.Second
)

// Fleet is the nodes as one node knows them.
type Fleet struct {
	mu      sync.Mutex
	now     func() time.Time
	self    string
	records map[string]Node
	lapsed  map[string]Node // record gone, perhaps still heard
	heard   map[string]time.Time
	load    map[string]int
	failed  map[string]time.Time // first failure since the last success
	latest  map[string]time.Time // last failure
	gone    map[string]bool      // VMs
	told    map[string]time.Time // when other nodes last suspected a node
}

// NewFleet returns an empty fleet as seen by the node self.
func NewFleet(self string, now func() time.Time) *Fleet {
	return &Fleet{now: now, self: self, records: map[string]Node{}, lapsed: map[string]Node{}, heard: map[string]time.Time{},
		load: map[string]int{}, failed: map[string]time.Time{}, latest: map[string]time.Time{}, gone: map[string]bool{}, told: map[string]time.Time{}}
}

// Update takes in the node records and the list of gone VMs of a view.
func (f *Fleet) Update(v *view.View) {
	records := map[string]Node{}
	for _, it := range v.List(Prefix) {
		if n, err := decodeNode(it); err == nil {
			records[strings.TrimPrefix(it.Key, Prefix)] = n
		}
	}
	gone := map[string]bool{}
	if it, ok := v.Get(TerminatedVMsKey); ok {
		var names []string
		_ = json.Unmarshal(it.Value, &names)
		for _, n := range names {
			gone[n] = true
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.records {
		if _, ok := records[name]; !ok {
			f.lapsed[name] = n
		}
	}
	for name := range records {
		delete(f.lapsed, name)
	}
	f.records, f.gone = records, gone
}

// Nodes lists the live nodes by name: those with a record, and those whose
// record lapsed but who are still heard from.
func (f *Fleet) Nodes() []Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := maps.Clone(f.records)
	for name, n := range f.lapsed {
		if f.now().Sub(f.heard[name]) < heardFor || name == f.self {
			all[name] = n
		} else {
			delete(f.lapsed, name)
		}
	}
	var out []Node
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !f.gone[all[name].VM] || all[name].VM == "" {
			out = append(out, all[name])
		}
	}
	return out
}

// Find returns a node by name.
func (f *Fleet) Find(name string) (Node, bool) {
	for _, n := range f.Nodes() {
		if n.Name == name {
			return n, true
		}
	}
	return Node{}, false
}

// Heard notes a message from a node and its load.
func (f *Fleet) Heard(name string, load int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[name] = f.now()
	f.load[name] = load
	delete(f.failed, name)
	delete(f.latest, name)
}

// Called notes the result of a call to the node at a peer address. When it is
// the first failure since a success, it returns the node's name.
func (f *Fleet) RecordCall(addr string, ok bool) (silent string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := ""
	for _, n := range f.records {
		if n.Peers == addr {
			name = n.Name
		}
	}
	switch {
	case name == "":
	case ok:
		f.heard[name] = f.now()
		delete(f.failed, name)
		delete(f.latest, name)
	default:
		_, since := f.failed[name]
		if !since {
			f.failed[name] = f.now()
			silent = name
		}
		f.latest[name] = f.now()
	}
	return silent
}

// Told notes that another node suspects a node; true when that is news.
func (f *Fleet) RecordPeerSuspicion(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.told[name]
	f.told[name] = f.now()
	return !known || f.now().Sub(at) > heardFor
}

// Doubtful tells whether this node or others suspected the node lately.
func (f *Fleet) SuspectedByAny(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, failed := f.failed[name]; failed {
		return true
	}
	at, known := f.told[name]
	return known && f.now().Sub(at) < heardFor
}

// Suspect tells whether calls to the node failed lately. It steers work; it
// never decides who may run a request.
func (f *Fleet) RecentlyFailed(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.latest[name]
	return ok && f.now().Sub(at) < suspectFor
}

// SilentFor tells for how long calls to the node have failed without one success.
func (f *Fleet) FailingFor(name string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.failed[name]
	if !ok {
		return 0
	}
	return f.latest[name].Sub(at)
}

// Load is the node's last reported number of requests in progress.
func (f *Fleet) Load(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load[name]
}

// Gone tells that an incarnation of a node runs no more, for certain: its name
// is used by another incarnation, or the platform says that its VM is terminated.
func (f *Fleet) Gone(name, incarnation, vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.records[name]; ok && n.Incarnation != incarnation {
		return true
	}
	return vm != "" && f.gone[vm]
}
