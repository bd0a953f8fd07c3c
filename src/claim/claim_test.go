package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// network is a fleet of keepers and coordinators of one shard whose messages
// wait in a bag: any may be delivered next, late, twice or never.
type network struct {
	t        *rapid.T
	now      time.Time
	current  Map // in the key-value service
	nodes    []*modelNode
	bag      []message
	attempts []*modelAttempt
	sent     map[string]int // by key
	tried    map[string]bool
}

type modelNode struct {
	self   Node
	ledger *Ledger
	own    *Attempts
	known  Map
	gen    int
}

// modelAttempt is one attempt and its round of claims.
type modelAttempt struct {
	id, key    string
	node       int
	gen        int // of the node; an attempt dies with its incarnation
	round      int
	tally      *Tally
	heard      map[int]bool // keepers whose reply of this round is counted: a call returns once
	superseded []string
	sent       bool
	notRun     bool
}

// message is a claim on its way to a keeper, or its reply on the way back.
type message struct {
	to      int
	gen     int
	claim   Claim
	attempt *modelAttempt
	round   int
	reply   *Reply
}

const (
	modelNodes    = 4 // three keepers and one that can take a keeper's place
	modelAttempts = 6
)

func newNetwork(t *rapid.T) *network {
	n := &network{t: t, now: time.Unix(1000, 0), sent: map[string]int{}, tried: map[string]bool{}}
	for i := range modelNodes {
		n.nodes = append(n.nodes, &modelNode{})
		n.boot(i)
	}
	n.current = NewMap(1, n.fleet(nil))
	for i := range n.nodes {
		n.learn(i)
	}
	return n
}

func (n *network) boot(i int) {
	m := n.nodes[i]
	m.gen++
	m.self = Node{Name: fmt.Sprintf("n%d", i), Incarnation: fmt.Sprint(m.gen), FailureDomain: fmt.Sprintf("d%d", i)}
	m.ledger = NewLedger(m.self, Limits{Window: time.Hour, MaxRecords: 100})
	m.own = NewAttempts()
	m.known = Map{}
}

// fleet is how a writer of the map sees the nodes; silent ones look dead to it.
func (n *network) fleet(silent map[int]bool) Fleet {
	f := Fleet{Live: map[string]Node{}, NowMS: n.now.UnixMilli()}
	for i, m := range n.nodes {
		if !silent[i] {
			f.Live[m.self.Name] = m.self
		}
	}
	f.Gone = func(k Node) bool { return n.byName(k.Name).self.Incarnation != k.Incarnation }
	f.Ready = func(k Node, shard int) int64 { return n.byName(k.Name).ledger.Ready()[shard] }
	return f
}

func (n *network) byName(name string) *modelNode {
	for _, m := range n.nodes {
		if m.self.Name == name {
			return m
		}
	}
	panic("no node " + name)
}

func (n *network) learn(i int) {
	n.nodes[i].known = n.current
	n.nodes[i].ledger.Observe(n.current)
}

func (n *network) begin(key string, node int) {
	m := n.nodes[node]
	if len(m.known.Shards) == 0 {
		return
	}
	a := &modelAttempt{id: fmt.Sprintf("a%02d", len(n.attempts)), key: key, node: node, gen: m.gen}
	n.attempts = append(n.attempts, a)
	m.own.Begin(a.id, n.now)
	n.claim(a)
}

// claim sends a round of claims, unless the shard has lost its records since
// the key may first have been used.
func (n *network) claim(a *modelAttempt) {
	m := n.nodes[a.node]
	def := m.known.Shards[0]
	if def.RecordsLostMS > 0 && n.tried[a.key] {
		m.own.Release(a.id, n.now)
		return
	}
	n.tried[a.key] = true
	a.round++
	a.tally = &Tally{Asked: len(def.Keepers), Required: Majority}
	a.heard = map[int]bool{}
	for _, k := range def.Keepers {
		to := int(k.Name[1] - '0')
		c := Claim{Epoch: def.Epoch, Key: a.key, Attempt: Attempt{ID: a.id, Node: m.self.Name, Incarnation: m.self.Incarnation}, Superseded: a.superseded}
		n.bag = append(n.bag, message{to: to, gen: n.nodes[to].gen, claim: c, attempt: a, round: a.round})
	}
}

func (n *network) deliver(i int, keep bool) {
	msg := n.bag[i]
	if !keep {
		n.bag = append(n.bag[:i], n.bag[i+1:]...)
	}
	if msg.reply == nil {
		if n.nodes[msg.to].gen == msg.gen {
			r := n.nodes[msg.to].ledger.Vote(msg.claim, n.now)
			msg.reply = &r
			n.bag = append(n.bag, msg)
		}
		return
	}
	a := msg.attempt
	if a.round == msg.round && !a.heard[msg.to] && n.nodes[a.node].gen == a.gen && !a.sent && !a.notRun {
		a.heard[msg.to] = true
		a.tally.Add(msg.reply)
		n.act(a)
	}
}

// act does what a coordinator does with its tally.
func (n *network) act(a *modelAttempt) {
	own := n.nodes[a.node].own
	switch a.tally.Decide() {
	case Granted:
		if own.Send(a.id, n.now) {
			a.sent = true
			n.sent[a.key]++
		}
	case Contested:
		n.meet(a)
	}
}

func (n *network) meet(a *modelAttempt) {
	for _, rival := range a.tally.Rivals(a.id) {
		o := n.byName(rival.Node)
		if o.self.Incarnation != rival.Incarnation || rapid.Bool().Draw(n.t, "rival silent") {
			return
		}
		if o.own.Yield(rival.ID, a.id, n.now) != Released {
			n.nodes[a.node].own.Release(a.id, n.now)
			return
		}
		a.superseded = append(a.superseded, rival.ID)
	}
	n.claim(a)
}

// giveUp tells the caller "not run" if the attempt can still be released.
func (n *network) giveUp(a *modelAttempt) {
	if n.nodes[a.node].gen == a.gen && n.nodes[a.node].own.Release(a.id, n.now) {
		a.notRun = true
	}
}

// gather makes a keeper ready as a coordinator's Gather does; some sources
// may be out of reach.
func (n *network) gather(i int) {
	m := n.nodes[i]
	if len(m.known.Shards) == 0 {
		return
	}
	def := m.known.Shards[0]
	var sources [][]Record
	read := func(k Node, least int64) bool {
		o := n.byName(k.Name)
		if o.self.Incarnation != k.Incarnation || rapid.Bool().Draw(n.t, "source silent") {
			return false
		}
		ready, recs := o.ledger.Seal(0, def.Epoch)
		if ready >= least {
			sources = append(sources, recs)
		}
		return ready >= least
	}
	for _, k := range def.Keepers {
		if k.Name != m.self.Name && read(k, def.Epoch) {
			m.ledger.Adopt(0, def.Epoch, sources[len(sources)-1])
			return
		}
	}
	sources = nil
	for _, k := range def.Source {
		read(k, def.SourceEpoch)
	}
	if len(def.Source) > 0 && len(sources) >= ReadQuorum(len(def.Source)) {
		m.ledger.Adopt(0, def.Epoch, sources...)
	}
}

// actions are drawn from evenly; what must happen often stands often.
var actions = []string{"begin", "begin", "drain", "drain", "drain", "deliver", "lose", "hand over", "hand over", "learn", "gather", "kill", "retry", "retry", "give up"}

func (n *network) step() {
	t := n.t
	node := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	switch rapid.SampledFrom(actions).Draw(t, "action") {
	case "begin":
		if len(n.attempts) < modelAttempts {
			n.begin("k", node)
		}
	case "drain":
		n.drain()
	case "deliver":
		if len(n.bag) > 0 {
			n.deliver(rapid.IntRange(0, len(n.bag)-1).Draw(t, "message"), true)
		}
	case "lose":
		if len(n.bag) > 0 {
			i := rapid.IntRange(0, len(n.bag)-1).Draw(t, "message")
			n.bag = append(n.bag[:i], n.bag[i+1:]...)
		}
	case "hand over":
		n.handOver(node)
	case "learn":
		n.learn(node)
	case "gather":
		n.gather(node)
	case "kill":
		n.boot(node)
	case "retry":
		if a := n.anyAttempt(); a != nil && n.nodes[a.node].gen == a.gen && !a.sent && !a.notRun && len(n.nodes[a.node].known.Shards) > 0 {
			n.claim(a)
		}
	case "give up":
		if a := n.anyAttempt(); a != nil {
			n.giveUp(a)
		}
	}
}

func (n *network) anyAttempt() *modelAttempt {
	if len(n.attempts) == 0 {
		return nil
	}
	return n.attempts[rapid.IntRange(0, len(n.attempts)-1).Draw(n.t, "attempt")]
}

// drain delivers some of the bag, each message or not by a draw.
func (n *network) drain() {
	picks := rapid.Uint64().Draw(n.t, "picks")
	for i := len(n.bag) - 1; i >= 0; i-- {
		if picks>>(uint(i)%64)&1 == 1 {
			n.deliver(i, false)
		}
	}
}

// handOver lets the map follow the fleet, with one node perhaps silent, and
// some of the nodes learn of it and get ready.
func (n *network) handOver(node int) {
	silent := map[int]bool{node: rapid.Bool().Draw(n.t, "silent")}
	who := rapid.Uint8().Draw(n.t, "who")
	for range 2 {
		if next, changed := n.current.Next(n.fleet(silent)); changed {
			n.current = next
		}
		for i := range n.nodes {
			if who>>i&1 == 1 {
				n.learn(i)
			}
			if who>>(i+4)&1 == 1 {
				n.gather(i)
			}
		}
	}
}

func (n *network) check() {
	for key, times := range n.sent {
		if times > 1 {
			n.t.Fatalf("key %s was sent %d times", key, times)
		}
	}
	for _, a := range n.attempts {
		if a.notRun && a.sent {
			n.t.Fatalf("attempt %s was told not run and sent", a.id)
		}
	}
}

// No key is sent twice, and nothing told as not run is sent, whatever order
// messages, losses, epochs, restarts and freezes come in. A frozen node is one
// whose messages stay in the bag while the others go on.
func TestAtMostOnceUnderAnyInterleaving(t *testing.T) {
	sends := 0
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			n.step()
			n.check()
		}
		sends += len(n.sent)
	})
	if sends == 0 {
		t.Fatal("no run sent anything: the property was not tested")
	}
}

func fleetOf(n int) Fleet {
	f := Fleet{Live: map[string]Node{}, Gone: func(Node) bool { return false }, Ready: func(Node, int) int64 { return 0 }}
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		f.Live[name] = Node{Name: name, Incarnation: "1", FailureDomain: fmt.Sprintf("d%d", i%3)}
	}
	return f
}

func TestKeepersStandInDifferentDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := fleetOf(rapid.IntRange(3, 20).Draw(t, "nodes"))
		for _, s := range NewMap(64, f).Shards {
			seen := map[string]bool{}
			for _, k := range s.Keepers {
				seen[k.FailureDomain] = true
			}
			if len(seen) != KeepersPerShard {
				t.Fatalf("keepers %v", s.Keepers)
			}
		}
	})
}

func TestMapIsStableAndFollowsLosses(t *testing.T) {
	is := is.New(t)
	f := fleetOf(9)
	m := NewMap(64, f)
	_, changed := m.Next(f)
	is.True(!changed) // same fleet, same map
	delete(f.Live, "n4")
	next, changed := m.Next(f)
	is.True(changed)
	moved := 0
	for i := range next.Shards {
		if next.Shards[i].Epoch != m.Shards[i].Epoch {
			moved++
			is.True(!next.Shards[i].Active) // no claims before the records are there
		}
	}
	is.True(moved < 40) // only the lost node's shards move
}

func TestSilentKeepersAreNotForgottenRecords(t *testing.T) {
	is := is.New(t)
	f := fleetOf(6)
	m := NewMap(1, f)
	old := m.Shards[0].Keepers
	delete(f.Live, old[0].Name)
	delete(f.Live, old[1].Name)
	m, _ = m.Next(f)
	for range 5 {
		m, _ = m.Next(f)
	}
	is.True(!m.Shards[0].Active)                  // two silent keepers may still hold claims
	is.Equal(m.Shards[0].RecordsLostMS, int64(0)) // so the shard waits
	f.Gone = func(n Node) bool { return n.Name == old[0].Name || n.Name == old[1].Name }
	f.NowMS = 77
	m, _ = m.Next(f)
	is.Equal(m.Shards[0].RecordsLostMS, int64(77)) // now they are gone for certain
}

// keeperOf returns a ledger that keeps shard 0 as the map says.
func keeperOf(n Node, m Map) *Ledger {
	l := NewLedger(n, Limits{Window: time.Hour, MaxRecords: 10, AnswerBytes: 100})
	l.Observe(m)
	return l
}

func TestNoClaimBeforeTheEpochIsActive(t *testing.T) {
	is := is.New(t)
	f := fleetOf(4)
	m := NewMap(1, f)
	lost := m.Shards[0].Keepers[2]
	delete(f.Live, lost.Name)
	next, _ := m.Next(f)
	l := keeperOf(next.Shards[0].Keepers[0], next)
	is.True(l.Adopt(0, next.Shards[0].Epoch, nil))
	c := Claim{Epoch: next.Shards[0].Epoch, Key: "k", Attempt: Attempt{ID: "a"}}
	is.Equal(l.Vote(c, time.Unix(1, 0)).Verdict, NotReady)
	f.Ready = func(Node, int) int64 { return next.Shards[0].Epoch }
	active, _ := next.Next(f)
	l.Observe(active)
	is.Equal(l.Vote(c, time.Unix(1, 0)).Verdict, Stored)
	c.Epoch--
	is.Equal(l.Vote(c, time.Unix(1, 0)).Verdict, StaleEpoch)
}

func TestSecondHandOverKeepsTheLastActiveSource(t *testing.T) {
	is := is.New(t)
	f := fleetOf(6)
	first := NewMap(1, f)
	delete(f.Live, first.Shards[0].Keepers[0].Name)
	second, _ := first.Next(f)
	delete(f.Live, second.Shards[0].Keepers[2].Name)
	third, _ := second.Next(f)
	is.Equal(third.Shards[0].Epoch, int64(3))
	is.Equal(third.Shards[0].Source, first.Shards[0].Keepers) // epoch 2 was never active
	is.Equal(third.Shards[0].SourceEpoch, int64(1))
}

func TestHandOverKeepsEveryAttemptItFinds(t *testing.T) {
	is := is.New(t)
	f := fleetOf(4)
	m := NewMap(1, f)
	l := keeperOf(m.Shards[0].Keepers[0], m)
	rec := func(id string) []Record { return []Record{{Key: "k", Attempts: []Attempt{{ID: id}}}} }
	is.True(l.Adopt(0, 1, rec("a"), rec("b")))
	r := l.Vote(Claim{Epoch: 1, Key: "k", Attempt: Attempt{ID: "a"}}, time.Unix(1, 0))
	is.Equal(r.Verdict, Held) // either may have been granted
	is.Equal(len(r.Held.Attempts), 2)
	r = l.Vote(Claim{Epoch: 1, Key: "k", Attempt: Attempt{ID: "a"}, Superseded: []string{"b"}}, time.Unix(1, 0))
	is.Equal(r.Verdict, Stored)
}

func TestLedgerIsBoundedInRecordsAndTime(t *testing.T) {
	is := is.New(t)
	f := fleetOf(3)
	m := NewMap(1, f)
	l := keeperOf(m.Shards[0].Keepers[0], m)
	vote := func(i int, at int64) Verdict {
		return l.Vote(Claim{Epoch: 1, Key: fmt.Sprint(i), Attempt: Attempt{ID: fmt.Sprint(i)}}, time.Unix(at, 0)).Verdict
	}
	for i := range 10 {
		is.Equal(vote(i, 100), Stored)
	}
	is.Equal(vote(10, 100), Full)
	is.Equal(l.Expire(time.Unix(100+3601, 0)), 0)
	is.Equal(vote(10, 4000), Stored)
}

func TestSealedKeeperTakesNoMoreClaimsOfTheEpoch(t *testing.T) {
	is := is.New(t)
	f := fleetOf(4)
	m := NewMap(1, f)
	l := keeperOf(m.Shards[0].Keepers[0], m)
	c := Claim{Epoch: 1, Key: "k", Attempt: Attempt{ID: "a"}}
	is.Equal(l.Vote(c, time.Unix(1, 0)).Verdict, Stored)
	ready, records := l.Seal(0, 2) // by a keeper that knows epoch 2; this one does not yet
	is.Equal(ready, int64(1))
	is.Equal(len(records), 1)
	c.Key = "later"
	is.Equal(l.Vote(c, time.Unix(1, 0)).Verdict, StaleEpoch)
}
