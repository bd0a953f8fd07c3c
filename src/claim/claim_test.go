package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// network simulates the keepers and coordinators of one shard. Pending messages
// may be delivered in any order, more than once or never.
type network struct {
	t        *rapid.T
	now      time.Time
	current  Map // the map in the key-value service
	nodes    []*modelNode
	messages []message
	attempts []*modelAttempt
	sent     map[string]int  // by key
	used     map[string]bool // keys for which claims were sent
	mixed    bool            // some attempts are repeatable
	sentOnce map[string]bool // keys of which an attempt that is not repeatable was sent
	repeated map[string]bool // of these, keys of which another attempt was sent later
}

type modelNode struct {
	self     Node
	ledger   *Ledger
	states   *Attempts
	shardMap Map
	gen      int // generation, incremented at each restart
}

// modelAttempt is an attempt and its current round of claims.
type modelAttempt struct {
	id, key    string
	repeatable bool
	node       int
	gen        int // generation of the node that started the attempt
	round      int
	tally      *Tally
	replied    map[int]bool // keepers whose reply in this round has been counted
	superseded []string
	sent       bool
	notRun     bool
}

// message is a claim sent to a keeper, or the keeper's reply.
type message struct {
	to      int
	gen     int // generation of the keeper when the claim was sent
	claim   Claim
	attempt *modelAttempt
	round   int
	reply   *Reply
}

const (
	modelNodes    = 4 // three keepers and a spare
	modelAttempts = 6
)

func newNetwork(t *rapid.T) *network {
	n := &network{t: t, now: time.Unix(1000, 0), sent: map[string]int{}, used: map[string]bool{}, sentOnce: map[string]bool{}, repeated: map[string]bool{}}
	for i := range modelNodes {
		n.nodes = append(n.nodes, &modelNode{})
		n.restart(i)
	}
	n.current = NewMap(1, n.fleet(nil))
	for i := range n.nodes {
		n.observeMap(i)
	}
	return n
}

func (n *network) restart(i int) {
	m := n.nodes[i]
	m.gen++
	m.self = Node{Name: fmt.Sprintf("n%d", i), Incarnation: fmt.Sprint(m.gen), FailureDomain: fmt.Sprintf("d%d", i)}
	m.ledger = NewLedger(m.self, Limits{Retention: time.Hour, MaxRecords: 100})
	m.states = NewAttempts()
	m.shardMap = Map{}
}

// fleet returns the nodes as the writer of the map sees them.
func (n *network) fleet(unreachable map[int]bool) Fleet {
	f := Fleet{Live: map[string]Node{}, NowMS: n.now.UnixMilli()}
	for i, m := range n.nodes {
		if !unreachable[i] {
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

func (n *network) observeMap(i int) {
	n.nodes[i].shardMap = n.current
	n.nodes[i].ledger.Observe(n.current)
}

func (n *network) startAttempt(key string, node int) {
	m := n.nodes[node]
	if len(m.shardMap.Shards) == 0 {
		return
	}
	a := &modelAttempt{id: fmt.Sprintf("a%02d", len(n.attempts)), key: key, node: node, gen: m.gen}
	a.repeatable = n.mixed && rapid.Bool().Draw(n.t, "repeatable")
	n.attempts = append(n.attempts, a)
	m.states.Begin(a.id, n.now)
	n.sendClaims(a)
}

// sendClaims sends a round of claims. It releases the attempt instead if the
// shard's records were lost and the key may have been used before.
func (n *network) sendClaims(a *modelAttempt) {
	m := n.nodes[a.node]
	shard := m.shardMap.Shards[0]
	if shard.RecordsLostMS > 0 && n.used[a.key] {
		m.states.Release(a.id, n.now)
		return
	}
	n.used[a.key] = true
	a.round++
	a.tally = &Tally{Asked: len(shard.Keepers), Required: Majority}
	a.replied = map[int]bool{}
	for _, k := range shard.Keepers {
		to := int(k.Name[1] - '0')
		c := Claim{Epoch: shard.Epoch, Key: a.key, Attempt: Attempt{ID: a.id, Node: m.self.Name, Incarnation: m.self.Incarnation}, Repeatable: a.repeatable, Superseded: a.superseded}
		n.messages = append(n.messages, message{to: to, gen: n.nodes[to].gen, claim: c, attempt: a, round: a.round})
	}
}

func (n *network) deliver(i int, keep bool) {
	msg := n.messages[i]
	if !keep {
		n.messages = append(n.messages[:i], n.messages[i+1:]...)
	}
	if msg.reply == nil {
		if n.nodes[msg.to].gen == msg.gen {
			r := n.nodes[msg.to].ledger.Vote(msg.claim, n.now)
			msg.reply = &r
			n.messages = append(n.messages, msg)
		}
		return
	}
	a := msg.attempt
	if a.round == msg.round && !a.replied[msg.to] && n.nodes[a.node].gen == a.gen && !a.sent && !a.notRun {
		a.replied[msg.to] = true
		a.tally.Add(msg.reply)
		n.applyDecision(a)
	}
}

// applyDecision acts on the tally as a coordinator does.
func (n *network) applyDecision(a *modelAttempt) {
	states := n.nodes[a.node].states
	switch a.tally.Decide() {
	case Granted:
		if states.Send(a.id, n.now) {
			a.sent = true
			n.sent[a.key]++
			n.repeated[a.key] = n.repeated[a.key] || n.sentOnce[a.key]
			n.sentOnce[a.key] = n.sentOnce[a.key] || !a.repeatable
		}
	case Contested:
		n.resolveConflict(a)
	}
}

func (n *network) resolveConflict(a *modelAttempt) {
	repeatable := a.repeatable
	for _, held := range a.tally.HeldRecords {
		repeatable = repeatable && held.Repeatable
	}
	for _, rival := range a.tally.Rivals(a.id) {
		o := n.byName(rival.Node)
		if o.self.Incarnation != rival.Incarnation || rapid.Bool().Draw(n.t, "rival unreachable") {
			if !repeatable {
				return
			}
			a.superseded = append(a.superseded, rival.ID)
			continue
		}
		if o.states.Yield(rival.ID, a.id, n.now) != Released {
			n.nodes[a.node].states.Release(a.id, n.now)
			return
		}
		a.superseded = append(a.superseded, rival.ID)
	}
	n.sendClaims(a)
}

// release answers the caller "not run" if the attempt can still be released.
func (n *network) release(a *modelAttempt) {
	if n.nodes[a.node].gen == a.gen && n.nodes[a.node].states.Release(a.id, n.now) {
		a.notRun = true
	}
}

// syncRecords copies the records that a keeper lacks from other keepers, some of
// which may be unreachable.
func (n *network) syncRecords(i int) {
	m := n.nodes[i]
	if len(m.shardMap.Shards) == 0 {
		return
	}
	shard := m.shardMap.Shards[0]
	var sources [][]Record
	read := func(k Node, minEpoch int64) bool {
		o := n.byName(k.Name)
		if o.self.Incarnation != k.Incarnation || rapid.Bool().Draw(n.t, "source unreachable") {
			return false
		}
		ready, recs := o.ledger.Seal(0, shard.Epoch)
		if ready >= minEpoch {
			sources = append(sources, recs)
		}
		return ready >= minEpoch
	}
	for _, k := range shard.Keepers {
		if k.Name != m.self.Name && read(k, shard.Epoch) {
			m.ledger.Adopt(0, shard.Epoch, sources[len(sources)-1])
			return
		}
	}
	sources = nil
	for _, k := range shard.Source {
		read(k, shard.SourceEpoch)
	}
	if len(shard.Source) > 0 && len(sources) >= ReadQuorum(len(shard.Source)) {
		m.ledger.Adopt(0, shard.Epoch, sources...)
	}
}

// actions is sampled uniformly; repeated entries are more frequent.
var actions = []string{"start attempt", "start attempt", "deliver some", "deliver some", "deliver some", "deliver", "drop", "hand over", "hand over", "observe map", "sync records", "restart", "retry", "retry", "release"}

func (n *network) step() {
	t := n.t
	node := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	switch rapid.SampledFrom(actions).Draw(t, "action") {
	case "start attempt":
		if len(n.attempts) < modelAttempts {
			n.startAttempt("k", node)
		}
	case "deliver some":
		n.deliverSome()
	case "deliver":
		if len(n.messages) > 0 {
			n.deliver(rapid.IntRange(0, len(n.messages)-1).Draw(t, "message"), true)
		}
	case "drop":
		if len(n.messages) > 0 {
			i := rapid.IntRange(0, len(n.messages)-1).Draw(t, "message")
			n.messages = append(n.messages[:i], n.messages[i+1:]...)
		}
	case "hand over":
		n.handOver(node)
	case "observe map":
		n.observeMap(node)
	case "sync records":
		n.syncRecords(node)
	case "restart":
		n.restart(node)
	case "retry":
		if a := n.anyAttempt(); a != nil && n.nodes[a.node].gen == a.gen && !a.sent && !a.notRun && len(n.nodes[a.node].shardMap.Shards) > 0 {
			n.sendClaims(a)
		}
	case "release":
		if a := n.anyAttempt(); a != nil {
			n.release(a)
		}
	}
}

func (n *network) anyAttempt() *modelAttempt {
	if len(n.attempts) == 0 {
		return nil
	}
	return n.attempts[rapid.IntRange(0, len(n.attempts)-1).Draw(n.t, "attempt")]
}

// deliverSome delivers a random subset of the pending messages.
func (n *network) deliverSome() {
	picks := rapid.Uint64().Draw(n.t, "picks")
	for i := len(n.messages) - 1; i >= 0; i-- {
		if picks>>(uint(i)%64)&1 == 1 {
			n.deliver(i, false)
		}
	}
}

// handOver updates the map, with one node possibly unreachable, after which
// some nodes observe it and copy records.
func (n *network) handOver(node int) {
	unreachable := map[int]bool{node: rapid.Bool().Draw(n.t, "unreachable")}
	updated := rapid.Uint8().Draw(n.t, "updated")
	for range 2 {
		if next, changed := n.current.Next(n.fleet(unreachable)); changed {
			n.current = next
		}
		for i := range n.nodes {
			if updated>>i&1 == 1 {
				n.observeMap(i)
			}
			if updated>>(i+4)&1 == 1 {
				n.syncRecords(i)
			}
		}
	}
}

func (n *network) check() {
	for key, times := range n.sent {
		if times > 1 && !n.mixed {
			n.t.Fatalf("key %s was sent %d times", key, times)
		}
		if n.repeated[key] {
			n.t.Fatalf("key %s was sent again after an attempt that is not repeatable", key)
		}
	}
	for _, a := range n.attempts {
		if a.notRun && a.sent {
			n.t.Fatalf("attempt %s was sent although the caller was told it did not run", a.id)
		}
	}
}

// Guards against a record that says repeatable after an attempt that is not has
// replaced one that is: the next attempt would then abandon it, although it may have run.
func TestNonRepeatableAttemptRunsOnceAmongRepeatableOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(t)
		n.mixed = true
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			n.step()
			n.check()
		}
	})
}

// Guards against a record that expires before the attempt that replaced an earlier one.
func TestReplacedAttemptRenewsItsRecord(t *testing.T) {
	is := is.New(t)
	self := Node{Name: "n", Incarnation: "1", FailureDomain: "d"}
	l := NewLedger(self, Limits{Retention: time.Minute, MaxRecords: 10})
	l.Observe(NewMap(1, Fleet{Live: map[string]Node{"n": self}}))
	start := time.Unix(1000, 0)
	claim := Claim{Epoch: 1, Key: "k", Attempt: Attempt{ID: "a"}, Repeatable: true}
	is.Equal(l.Vote(claim, start).Verdict, Stored)
	later := start.Add(50 * time.Second)
	is.Equal(l.Vote(Claim{Epoch: 1, Key: "k", Attempt: Attempt{ID: "b"}, Superseded: []string{"a"}}, later).Verdict, Stored)
	is.True(!l.Lookup(0, "k").Repeatable)
	is.Equal(l.Expire(start.Add(90*time.Second)), 1) // within the retention of b
	is.Equal(l.Expire(later.Add(time.Minute+time.Millisecond)), 0)
}

// No key is sent twice, and no attempt reported as not run is sent, under any
// interleaving of deliveries, losses, map changes, restarts and retries.
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
		t.Fatal("no attempt was sent in any run; the property was not exercised")
	}
}

func newFleet(n int) Fleet {
	f := Fleet{Live: map[string]Node{}, Gone: func(Node) bool { return false }, Ready: func(Node, int) int64 { return 0 }}
	for i := range n {
		name := fmt.Sprintf("n%d", i)
		f.Live[name] = Node{Name: name, Incarnation: "1", FailureDomain: fmt.Sprintf("d%d", i%3)}
	}
	return f
}

func TestKeepersAreInDifferentDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(3, 20).Draw(t, "nodes"))
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
	f := newFleet(9)
	m := NewMap(64, f)
	_, changed := m.Next(f)
	is.True(!changed) // the map is stable for an unchanged fleet
	delete(f.Live, "n4")
	next, changed := m.Next(f)
	is.True(changed)
	moved := 0
	for i := range next.Shards {
		if next.Shards[i].Epoch != m.Shards[i].Epoch {
			moved++
			is.True(!next.Shards[i].Active) // inactive until the records are copied
		}
	}
	is.True(moved < 40) // only the lost node's shards move
}

func TestUnreachableKeepersAreNotTreatedAsGone(t *testing.T) {
	is := is.New(t)
	f := newFleet(6)
	m := NewMap(1, f)
	old := m.Shards[0].Keepers
	delete(f.Live, old[0].Name)
	delete(f.Live, old[1].Name)
	m, _ = m.Next(f)
	for range 5 {
		m, _ = m.Next(f)
	}
	is.True(!m.Shards[0].Active)                  // two unreachable keepers may still hold claims
	is.Equal(m.Shards[0].RecordsLostMS, int64(0)) // so their records are not given up
	f.Gone = func(n Node) bool { return n.Name == old[0].Name || n.Name == old[1].Name }
	f.NowMS = 77
	m, _ = m.Next(f)
	is.Equal(m.Shards[0].RecordsLostMS, int64(77)) // both keepers are known to be gone
}

// newKeeper returns the ledger of a node that has observed m.
func newKeeper(n Node, m Map) *Ledger {
	l := NewLedger(n, Limits{Retention: time.Hour, MaxRecords: 10, AnswerBytes: 100})
	l.Observe(m)
	return l
}

func TestNoClaimBeforeTheEpochIsActive(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	m := NewMap(1, f)
	lost := m.Shards[0].Keepers[2]
	delete(f.Live, lost.Name)
	next, _ := m.Next(f)
	l := newKeeper(next.Shards[0].Keepers[0], next)
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
	f := newFleet(6)
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
	f := newFleet(4)
	m := NewMap(1, f)
	l := newKeeper(m.Shards[0].Keepers[0], m)
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
	f := newFleet(3)
	m := NewMap(1, f)
	l := newKeeper(m.Shards[0].Keepers[0], m)
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

func TestSealedKeeperRefusesClaimsOfTheEpoch(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	m := NewMap(1, f)
	l := newKeeper(m.Shards[0].Keepers[0], m)
	c := Claim{Epoch: 1, Key: "k", Attempt: Attempt{ID: "a"}}
	is.Equal(l.Vote(c, time.Unix(1, 0)).Verdict, Stored)
	ready, records := l.Seal(0, 2) // this keeper has not observed epoch 2 yet
	is.Equal(ready, int64(1))
	is.Equal(len(records), 1)
	c.Key = "later"
	is.Equal(l.Vote(c, time.Unix(1, 0)).Verdict, StaleEpoch)
}
