// Package member tracks the nodes of the system: their records in the key-value
// service, the load they report, and which of them are suspected to be down.
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

// Prefix is the prefix of the keys of node records. The value at TerminatedVMsKey
// lists the VMs that have been terminated. The values that crank-gateway stores under
// a prefix spelled alike have another format.
const (
	Prefix           = view.Prefix + "nodes/"
	TerminatedVMsKey = view.Prefix + "gone"
)

// Node is the record of a node. Callers, Peers and Operators are the addresses at
// which it serves clients, other nodes and operators.
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

// Key returns the record's key in the key-value service.
func (n Node) Key() string { return Prefix + n.Name }

func decodeNode(it ports.Item) (Node, error) {
	var n Node
	err := json.Unmarshal(it.Value, &n)
	return n, err
}

const (
	// messageTTL is how long a node without a record is kept after its last
	// message, and how long another node's suspicion of a node is valid.
	messageTTL = 10 * time.Second
	// avoidPeriod is how long a node is avoided for new work after a failed call to it.
	avoidPeriod = 3 * time.Second
)

// Fleet is one node's view of all nodes. The maps are keyed by node name unless
// noted otherwise.
type Fleet struct {
	mu             sync.Mutex
	now            func() time.Time
	self           string
	records        map[string]Node
	lapsed         map[string]Node      // no longer recorded, but possibly still sending messages
	heard          map[string]time.Time // last message
	load           map[string]int       // requests in progress, as last reported
	failing        map[string]time.Time // first failed call since the last success
	lastFailure    map[string]time.Time // last failed call since the last success
	terminated     map[string]bool      // by VM
	peerSuspicions map[string]time.Time // last report that another node suspects the node
}

// NewFleet returns the empty fleet of the node named self.
func NewFleet(self string, now func() time.Time) *Fleet {
	return &Fleet{now: now, self: self, records: map[string]Node{}, lapsed: map[string]Node{}, heard: map[string]time.Time{},
		load: map[string]int{}, failing: map[string]time.Time{}, lastFailure: map[string]time.Time{}, terminated: map[string]bool{}, peerSuspicions: map[string]time.Time{}}
}

// Update reads the node records and the list of terminated VMs from a view.
func (f *Fleet) Update(v *view.View) {
	records := map[string]Node{}
	for _, it := range v.List(Prefix) {
		if n, err := decodeNode(it); err == nil {
			records[strings.TrimPrefix(it.Key, Prefix)] = n
		}
	}
	terminated := map[string]bool{}
	if it, ok := v.Get(TerminatedVMsKey); ok {
		var names []string
		_ = json.Unmarshal(it.Value, &names)
		for _, n := range names {
			terminated[n] = true
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
	f.records, f.terminated = records, terminated
}

// Nodes lists the live nodes, sorted by name: those with a record, and those whose
// record is gone but that have sent a message within messageTTL or are this node.
// Nodes on terminated VMs are left out.
func (f *Fleet) Nodes() []Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := maps.Clone(f.records)
	for name, n := range f.lapsed {
		if f.now().Sub(f.heard[name]) < messageTTL || name == f.self {
			all[name] = n
		} else {
			delete(f.lapsed, name)
		}
	}
	var out []Node
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !f.terminated[all[name].VM] || all[name].VM == "" {
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

// RecordMessage records a message from a node and the load that it reported.
func (f *Fleet) RecordMessage(name string, load int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[name] = f.now()
	f.load[name] = load
	delete(f.failing, name)
	delete(f.lastFailure, name)
}

// RecordCall records the result of a call to the node with peer address addr. It
// returns the node's name if this is the first failure since a success.
func (f *Fleet) RecordCall(addr string, ok bool) (newlyFailing string) {
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
		delete(f.failing, name)
		delete(f.lastFailure, name)
	default:
		_, alreadyFailing := f.failing[name]
		if !alreadyFailing {
			f.failing[name] = f.now()
			newlyFailing = name
		}
		f.lastFailure[name] = f.now()
	}
	return newlyFailing
}

// RecordPeerSuspicion records that another node suspects the node. It reports
// whether no such report has been received within messageTTL.
func (f *Fleet) RecordPeerSuspicion(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.peerSuspicions[name]
	f.peerSuspicions[name] = f.now()
	return !known || f.now().Sub(at) > messageTTL
}

// SuspectedByAny reports whether calls to the node are failing or another node
// reported it as suspect within messageTTL.
func (f *Fleet) SuspectedByAny(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, failing := f.failing[name]; failing {
		return true
	}
	at, known := f.peerSuspicions[name]
	return known && f.now().Sub(at) < messageTTL
}

// RecentlyFailed reports whether a call to the node failed within avoidPeriod. It
// is a routing hint and must not decide who may run a request.
func (f *Fleet) RecentlyFailed(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.lastFailure[name]
	return ok && f.now().Sub(at) < avoidPeriod
}

// FailingFor returns the time from the first to the last failed call since a call
// last succeeded, or 0 if none has failed.
func (f *Fleet) FailingFor(name string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.failing[name]
	if !ok {
		return 0
	}
	return f.lastFailure[name].Sub(at)
}

// Load returns the number of requests in progress that the node last reported.
func (f *Fleet) Load(name string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.load[name]
}

// Gone reports whether an incarnation of a node has certainly stopped: another
// incarnation uses its name, or the platform reports its VM as terminated.
func (f *Fleet) Gone(name, incarnation, vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.records[name]; ok && n.Incarnation != incarnation {
		return true
	}
	return vm != "" && f.terminated[vm]
}
