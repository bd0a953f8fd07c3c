package claim

import (
	"bytes"
	"slices"
	"sync"
	"time"
)

// Attempt identifies one attempt at a request and its coordinator.
type Attempt struct {
	ID          string
	Node        string
	Incarnation string
	Addr        string // peer listener of the coordinator
	Engine      string // engine that runs the stream, for a completion
	Stream      string
}

// Record is a keeper's record of one key. It lists several attempts only if a
// handover merged keepers with different attempts, of which at most one was
// granted.
type Record struct {
	Key        string
	Digest     []byte
	Attempts   []Attempt
	Repeatable bool
	Answer     []byte
	CreatedMS  int64 // Unix time, ms
}

// Verdict is a keeper's response to a claim.
type Verdict int

// Verdicts on a claim.
const (
	Stored     Verdict = iota // the attempt holds the key at this keeper
	Held                      // another attempt holds the key
	StaleEpoch                // the claim's epoch has ended
	NotReady                  // the keeper does not serve the claim's epoch yet
	Full                      // the keeper has reached its record limit
)

// Claim asks a keeper to store an attempt as the holder of a key.
type Claim struct {
	Shard      int
	Epoch      int64
	Key        string
	Digest     []byte
	Attempt    Attempt
	Repeatable bool
	// Superseded lists attempts known to be released or, for repeatable
	// requests, abandoned.
	Superseded []string
}

// Reply is a keeper's answer to a claim.
type Reply struct {
	Verdict Verdict
	Epoch   int64
	Held    *Record
}

// Limits bound a ledger.
type Limits struct {
	Window      time.Duration // retention time of a record
	MaxRecords  int           // claims for new keys are refused from here on; a handover may exceed it
	AnswerBytes int           // larger answers are not stored
}

// Ledger stores the records that a node keeps. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	self    Node
	limits  Limits
	shards  map[int]*shardState
	records int
}

type shardState struct {
	assignment  Shard
	readyEpoch  int64 // latest epoch for which all records are held
	sealedEpoch int64 // claims for lower epochs are refused
	records     map[string]*Record
}

// NewLedger returns an empty ledger for the node self.
func NewLedger(self Node, limits Limits) *Ledger {
	return &Ledger{self: self, limits: limits, shards: map[int]*shardState{}}
}

func (l *Ledger) shard(i int) *shardState {
	k := l.shards[i]
	if k == nil {
		k = &shardState{records: map[string]*Record{}}
		l.shards[i] = k
	}
	return k
}

// Observe applies a shard map. It returns the shards for which this node is a
// keeper but lacks the records of the current epoch.
func (l *Ledger) Observe(m Map) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var missing []int
	for i, assignment := range m.Shards {
		keeper := l.isKeeper(assignment)
		if !keeper && l.shards[i] == nil {
			continue
		}
		k := l.shard(i)
		if assignment.Epoch < k.assignment.Epoch {
			continue
		}
		k.assignment = assignment
		k.sealedEpoch = max(k.sealedEpoch, assignment.Epoch)
		if !keeper {
			continue
		}
		if len(assignment.Source) == 0 && !assignment.Active || assignment.Epoch == 1 && k.readyEpoch == 0 {
			// First epoch, or an epoch that starts without records.
			k.readyEpoch = assignment.Epoch
		}
		if k.readyEpoch < assignment.Epoch {
			missing = append(missing, i)
		}
	}
	return missing
}

func (l *Ledger) isKeeper(assignment Shard) bool {
	return slices.ContainsFunc(assignment.Keepers, func(n Node) bool {
		return n.Name == l.self.Name && n.Incarnation == l.self.Incarnation
	})
}

// Vote replies to a claim, and stores its attempt if no other one holds the key.
func (l *Ledger) Vote(c Claim, now time.Time) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.shard(c.Shard)
	switch {
	case c.Epoch < k.sealedEpoch:
		return Reply{Verdict: StaleEpoch, Epoch: k.sealedEpoch}
	case c.Epoch != k.assignment.Epoch || k.readyEpoch != c.Epoch || !k.assignment.Active || !l.isKeeper(k.assignment):
		return Reply{Verdict: NotReady, Epoch: k.assignment.Epoch}
	}
	rec := k.records[c.Key]
	if rec == nil {
		if l.records >= l.limits.MaxRecords {
			return Reply{Verdict: Full, Epoch: c.Epoch}
		}
		l.records++
		rec = &Record{Key: c.Key, Digest: c.Digest, Repeatable: c.Repeatable, CreatedMS: now.UnixMilli()}
		k.records[c.Key] = rec
	}
	return rec.vote(c)
}

func (r *Record) vote(c Claim) Reply {
	if !bytes.Equal(r.Digest, c.Digest) && len(r.Attempts) > 0 {
		return Reply{Verdict: Held, Epoch: c.Epoch, Held: r.copy()}
	}
	r.Attempts = slices.DeleteFunc(r.Attempts, func(a Attempt) bool { return slices.Contains(c.Superseded, a.ID) })
	if len(r.Attempts) == 0 {
		r.Attempts = []Attempt{c.Attempt}
		r.Digest = c.Digest
		r.Answer = nil
	}
	if len(r.Attempts) == 1 && r.Attempts[0].ID == c.Attempt.ID {
		return Reply{Verdict: Stored, Epoch: c.Epoch}
	}
	return Reply{Verdict: Held, Epoch: c.Epoch, Held: r.copy()}
}

func (r *Record) copy() *Record {
	c := *r
	c.Attempts = slices.Clone(r.Attempts)
	return &c
}

// Settle stores the end of an attempt, either released or with its answer.
func (l *Ledger) Settle(shard int, key, attempt string, released bool, answer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.shard(shard)
	rec := k.records[key]
	if rec == nil || !slices.ContainsFunc(rec.Attempts, func(a Attempt) bool { return a.ID == attempt }) {
		return
	}
	if released {
		rec.Attempts = slices.DeleteFunc(rec.Attempts, func(a Attempt) bool { return a.ID == attempt })
		if len(rec.Attempts) == 0 {
			delete(k.records, key)
			l.records--
		}
		return
	}
	if len(answer) <= l.limits.AnswerBytes {
		rec.Answer = answer
	}
}

// SetStream stores the engine and the stream ID of an attempt.
func (l *Ledger) SetStream(shard int, key, attempt, engine, stream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.shard(shard).records[key]
	if rec == nil {
		return
	}
	for i := range rec.Attempts {
		if rec.Attempts[i].ID == attempt {
			rec.Attempts[i].Engine, rec.Attempts[i].Stream = engine, stream
		}
	}
}

// Lookup returns a copy of the record of a key, or nil if there is none.
func (l *Ledger) Lookup(shard int, key string) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.shard(shard).records[key]
	if rec == nil || len(rec.Attempts) == 0 {
		return nil
	}
	return rec.copy()
}

// Seal makes the ledger refuse claims for epochs below epoch. It returns the
// shard's records and the epoch for which they are complete.
func (l *Ledger) Seal(shard int, epoch int64) (readyEpoch int64, records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.shard(shard)
	k.sealedEpoch = max(k.sealedEpoch, epoch)
	for _, r := range k.records {
		records = append(records, *r.copy())
	}
	return k.readyEpoch, records
}

// Adopt merges the records of sealed keepers and marks the shard ready at
// epoch. It returns false if the shard is now at another epoch. The sources
// must be a read quorum of the shard's Source, or one keeper that is ready at
// epoch.
func (l *Ledger) Adopt(shard int, epoch int64, sources ...[]Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.shard(shard)
	if k.assignment.Epoch != epoch {
		return false
	}
	for _, recs := range sources {
		for _, r := range recs {
			l.merge(k, r)
		}
	}
	k.readyEpoch = max(k.readyEpoch, epoch)
	return true
}

func (l *Ledger) merge(k *shardState, r Record) {
	existing := k.records[r.Key]
	if existing == nil {
		l.records++
		k.records[r.Key] = r.copy()
		return
	}
	for _, a := range r.Attempts {
		if !slices.ContainsFunc(existing.Attempts, func(o Attempt) bool { return o.ID == a.ID }) {
			existing.Attempts = append(existing.Attempts, a)
		}
	}
	if existing.Answer == nil {
		existing.Answer = r.Answer
	}
}

// Ready returns, for each shard this node keeps, the epoch it is ready for.
func (l *Ledger) Ready() map[int]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[int]int64{}
	for i, k := range l.shards {
		if l.isKeeper(k.assignment) {
			out[i] = k.readyEpoch
		}
	}
	return out
}

// Expire removes records older than the window and returns the number left.
func (l *Ledger) Expire(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := now.Add(-l.limits.Window).UnixMilli()
	for _, k := range l.shards {
		for key, r := range k.records {
			if r.CreatedMS < oldest {
				delete(k.records, key)
				l.records--
			}
		}
	}
	return l.records
}
