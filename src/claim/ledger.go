package claim

import (
	"bytes"
	"slices"
	"sync"
	"time"
)

// Attempt names one try at a request and the coordinator that makes it.
type Attempt struct {
	ID          string
	Node        string
	Incarnation string
	Addr        string // peer listener of the coordinator
	Engine      string // for a completion, where it runs
	Stream      string
}

// Record is what a keeper holds of one key. More than one attempt is listed
// only after a hand-over that found keepers with different attempts; then
// none of them was granted, or exactly one was.
type Record struct {
	Key        string
	Digest     []byte
	Attempts   []Attempt
	Repeatable bool
	Answer     []byte
	CreatedMS  int64
}

// Verdict is a keeper's word on a claim.
type Verdict int

// The verdicts.
const (
	Stored     Verdict = iota // the attempt is the holder at this keeper
	Held                      // another attempt is
	StaleEpoch                // the claim's epoch is over
	NotReady                  // the keeper does not serve the claim's epoch yet
	Full                      // the keeper has no room
)

// Claim asks a keeper to store an attempt as the holder of a key.
type Claim struct {
	Shard      int
	Epoch      int64
	Key        string
	Digest     []byte
	Attempt    Attempt
	Repeatable bool
	// Superseded are attempts known to be released unsent or, for repeatable
	// requests, given up.
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
	Window      time.Duration // a record is kept so long after it was made
	MaxRecords  int
	AnswerBytes int // a larger answer is not kept
}

// Ledger is the records one node keeps. It is safe for several goroutines.
type Ledger struct {
	mu      sync.Mutex
	self    Node
	limits  Limits
	shards  map[int]*kept
	records int
}

type kept struct {
	def     Shard
	ready   int64 // epoch for which all records are held
	sealed  int64 // claims of lower epochs are refused
	records map[string]*Record
}

// NewLedger returns an empty ledger of the node self.
func NewLedger(self Node, limits Limits) *Ledger {
	return &Ledger{self: self, limits: limits, shards: map[int]*kept{}}
}

func (l *Ledger) shard(i int) *kept {
	k := l.shards[i]
	if k == nil {
		k = &kept{records: map[string]*Record{}}
		l.shards[i] = k
	}
	return k
}

// Observe takes in a newer shard map. It returns the shards for which this
// node is a keeper that still lacks the records of the present epoch.
func (l *Ledger) Observe(m Map) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lacking []int
	for i, def := range m.Shards {
		mine := l.keeps(def)
		if !mine && l.shards[i] == nil {
			continue
		}
		k := l.shard(i)
		if def.Epoch < k.def.Epoch {
			continue
		}
		k.def = def
		k.sealed = max(k.sealed, def.Epoch)
		if !mine {
			continue
		}
		if len(def.Source) == 0 && !def.Active || def.Epoch == 1 && k.ready == 0 {
			// Nothing to take over: the first epoch, or one begun without records.
			k.ready = def.Epoch
		}
		if k.ready < def.Epoch {
			lacking = append(lacking, i)
		}
	}
	return lacking
}

func (l *Ledger) keeps(def Shard) bool {
	return slices.ContainsFunc(def.Keepers, func(n Node) bool {
		return n.Name == l.self.Name && n.Incarnation == l.self.Incarnation
	})
}

// Vote decides a claim.
func (l *Ledger) Vote(c Claim, now time.Time) Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.shard(c.Shard)
	switch {
	case c.Epoch < k.sealed:
		return Reply{Verdict: StaleEpoch, Epoch: k.sealed}
	case c.Epoch != k.def.Epoch || k.ready != c.Epoch || !k.def.Active || !l.keeps(k.def):
		return Reply{Verdict: NotReady, Epoch: k.def.Epoch}
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

// Settle stores the end of an attempt: released unsent, or with its answer.
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

// Place notes where the stream of an attempt runs.
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

// Lookup returns a copy of the record of a key, or nil.
func (l *Ledger) Lookup(shard int, key string) *Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.shard(shard).records[key]
	if rec == nil || len(rec.Attempts) == 0 {
		return nil
	}
	return rec.copy()
}

// Seal refuses all claims below epoch from now on, and returns the epoch for
// which this node holds every record, with the records.
func (l *Ledger) Seal(shard int, epoch int64) (ready int64, records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.shard(shard)
	k.sealed = max(k.sealed, epoch)
	for _, r := range k.records {
		records = append(records, *r.copy())
	}
	return k.ready, records
}

// Adopt merges the records of one or more sealed keepers and marks the shard
// ready at epoch, unless the epoch has moved on. The caller has made sure
// that the sources suffice: a majority of the source's keepers, or one keeper
// ready at this very epoch.
func (l *Ledger) Adopt(shard int, epoch int64, sources ...[]Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.shard(shard)
	if k.def.Epoch != epoch {
		return false
	}
	for _, recs := range sources {
		for _, r := range recs {
			l.merge(k, r)
		}
	}
	k.ready = max(k.ready, epoch)
	return true
}

func (l *Ledger) merge(k *kept, r Record) {
	have := k.records[r.Key]
	if have == nil {
		l.records++
		k.records[r.Key] = r.copy()
		return
	}
	for _, a := range r.Attempts {
		if !slices.ContainsFunc(have.Attempts, func(o Attempt) bool { return o.ID == a.ID }) {
			have.Attempts = append(have.Attempts, a)
		}
	}
	if have.Answer == nil {
		have.Answer = r.Answer
	}
}

// Ready lists the shards this node keeps and the epoch it is ready for.
func (l *Ledger) Ready() map[int]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[int]int64{}
	for i, k := range l.shards {
		if l.keeps(k.def) {
			out[i] = k.ready
		}
	}
	return out
}

// Expire drops records older than the window and returns how many are left.
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
