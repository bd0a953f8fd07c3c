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
	Stream      string // ID of the stream at the engine
}

// Record is a keeper's record of one key. It lists several attempts only if a
// handover merged keepers with different attempts, of which at most one was
// granted.
type Record struct {
	Key        string
	Digest     []byte // hash of the request, by which the reuse of its key for another one is detected
	Attempts   []Attempt
	Repeatable bool   // all attempts are
	Answer     []byte // encoded by request.Answer.Encode; nil if there is none
	CreatedMS  int64  // of the latest attempt, Unix ms
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
	Digest     []byte // see Record
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
	Held    *Record // record of the key if the verdict is Held
}

// Limits bound a ledger.
type Limits struct {
	Retention   time.Duration // for which a record is kept after its creation
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
	s := l.shards[i]
	if s == nil {
		s = &shardState{records: map[string]*Record{}}
		l.shards[i] = s
	}
	return s
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
		s := l.shard(i)
		if assignment.Epoch < s.assignment.Epoch {
			continue
		}
		s.assignment = assignment
		s.sealedEpoch = max(s.sealedEpoch, assignment.Epoch)
		if !keeper {
			continue
		}
		if len(assignment.Source) == 0 && !assignment.Active || assignment.Epoch == 1 && s.readyEpoch == 0 {
			// First epoch, or an epoch that starts without records.
			s.readyEpoch = assignment.Epoch
		}
		if s.readyEpoch < assignment.Epoch {
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
	s := l.shard(c.Shard)
	switch {
	case c.Epoch < s.sealedEpoch:
		return Reply{Verdict: StaleEpoch, Epoch: s.sealedEpoch}
	case c.Epoch != s.assignment.Epoch || s.readyEpoch != c.Epoch || !s.assignment.Active || !l.isKeeper(s.assignment):
		return Reply{Verdict: NotReady, Epoch: s.assignment.Epoch}
	}
	rec := s.records[c.Key]
	if rec == nil {
		if l.records >= l.limits.MaxRecords {
			return Reply{Verdict: Full, Epoch: c.Epoch}
		}
		l.records++
		rec = &Record{Key: c.Key, Digest: c.Digest, Repeatable: c.Repeatable, CreatedMS: now.UnixMilli()}
		s.records[c.Key] = rec
	}
	return rec.vote(c, now)
}

func (r *Record) vote(c Claim, now time.Time) Reply {
	if !bytes.Equal(r.Digest, c.Digest) && len(r.Attempts) > 0 {
		return Reply{Verdict: Held, Epoch: c.Epoch, Held: r.copy()}
	}
	r.Attempts = slices.DeleteFunc(r.Attempts, func(a Attempt) bool { return slices.Contains(c.Superseded, a.ID) })
	if len(r.Attempts) == 0 {
		r.Attempts = []Attempt{c.Attempt}
		r.Digest = c.Digest
		r.Repeatable, r.CreatedMS = c.Repeatable, now.UnixMilli()
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

// Settle stores the end of an attempt: that it was released, or its answer.
func (l *Ledger) Settle(shard int, key, attempt string, released bool, answer []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(shard)
	rec := s.records[key]
	if rec == nil || !slices.ContainsFunc(rec.Attempts, func(a Attempt) bool { return a.ID == attempt }) {
		return
	}
	if released {
		rec.Attempts = slices.DeleteFunc(rec.Attempts, func(a Attempt) bool { return a.ID == attempt })
		if len(rec.Attempts) == 0 {
			delete(s.records, key)
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
	s := l.shard(shard)
	s.sealedEpoch = max(s.sealedEpoch, epoch)
	for _, r := range s.records {
		records = append(records, *r.copy())
	}
	return s.readyEpoch, records
}

// Adopt merges the records of sealed keepers and marks the shard ready at
// epoch. It returns false if the shard is now at another epoch. The sources
// must be a read quorum of the shard's Source, or one keeper that is ready at
// epoch.
func (l *Ledger) Adopt(shard int, epoch int64, sources ...[]Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shard(shard)
	if s.assignment.Epoch != epoch {
		return false
	}
	for _, recs := range sources {
		for _, r := range recs {
			l.merge(s, r)
		}
	}
	s.readyEpoch = max(s.readyEpoch, epoch)
	return true
}

func (l *Ledger) merge(s *shardState, r Record) {
	existing := s.records[r.Key]
	if existing == nil {
		l.records++
		s.records[r.Key] = r.copy()
		return
	}
	for _, a := range r.Attempts {
		if !slices.ContainsFunc(existing.Attempts, func(o Attempt) bool { return o.ID == a.ID }) {
			existing.Attempts = append(existing.Attempts, a)
		}
	}
	existing.Repeatable = existing.Repeatable && r.Repeatable
	existing.CreatedMS = max(existing.CreatedMS, r.CreatedMS)
	if existing.Answer == nil {
		existing.Answer = r.Answer
	}
}

// Ready returns, for each shard this node keeps, the epoch it is ready for.
func (l *Ledger) Ready() map[int]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[int]int64{}
	for i, s := range l.shards {
		if l.isKeeper(s.assignment) {
			out[i] = s.readyEpoch
		}
	}
	return out
}

// Expire removes records older than Limits.Window and returns the number left.
func (l *Ledger) Expire(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := now.Add(-l.limits.Retention).UnixMilli()
	for _, s := range l.shards {
		for key, r := range s.records {
			if r.CreatedMS < oldest {
				delete(s.records, key)
				l.records--
			}
		}
	}
	return l.records
}
