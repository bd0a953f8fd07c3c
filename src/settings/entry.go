package settings

import "time"

// Node names a process's place.
type Node struct {
	Name          string `yaml:"name"`
	VM            string `yaml:"vm"`
	FailureDomain string `yaml:"failure_domain"`
	Region        string `yaml:"region"`
}

// Listeners are addresses, host:port, one for each kind of client.
type Listeners struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// Service is where a platform service is found.
type Service struct {
	URL     string        `yaml:"url"`
	Timeout time.Duration `yaml:"timeout"`
}

// Secrets guard the peers' and operators' listeners.
type Secrets struct {
	Peer     string `yaml:"peer"`
	Operator string `yaml:"operator"`
}

// Entry is the settings of crank-entry.
type Entry struct {
	Node      Node      `yaml:"node"`
	Listen    Listeners `yaml:"listen"`
	Advertise Listeners `yaml:"advertise"`
	KV        Service   `yaml:"kv"`
	Cloud     Service   `yaml:"cloud"`
	Secrets   Secrets   `yaml:"secrets"`
	Peers     []string  `yaml:"peers"`
	Limits    Limits    `yaml:"limits"`
	Claims    Claims    `yaml:"claims"`
	Routing   Routing   `yaml:"routing"`
	Exchange  Exchange  `yaml:"exchange"`
	Stop      Stop      `yaml:"stop"`
	Retries   Retries   `yaml:"retries"`
}

// Limits bound what callers can make a node hold.
type Limits struct {
	BodyBytes    int           `yaml:"body_bytes"`
	HeaderBytes  int           `yaml:"header_bytes"`
	AnswerBytes  int           `yaml:"answer_bytes"`
	QueueEntries int           `yaml:"queue_entries"`
	QueueBytes   int           `yaml:"queue_bytes"`
	Flights      int           `yaml:"flights"`
	Deadline     time.Duration `yaml:"deadline"`
	MaxDeadline  time.Duration `yaml:"deadline_most"`
	FirstToken   time.Duration `yaml:"first_token"`
	WriteStall   time.Duration `yaml:"write_stall"`
	Orphan       time.Duration `yaml:"orphan"`
}

// Claims sets how requests marked not repeatable are kept to one run.
type Claims struct {
	Shards     int           `yaml:"shards"`
	Window     time.Duration `yaml:"window"`
	Timeout    time.Duration `yaml:"timeout"`
	Records    int           `yaml:"records"`
	KeptBytes  int           `yaml:"kept_bytes"`
	SingleNode bool          `yaml:"single_node"`
	Suspect    time.Duration `yaml:"suspect"`
}

// Routing sets how upstreams are followed and chosen.
type Routing struct {
	Policy    string        `yaml:"policy"`
	Subset    int           `yaml:"subset"`
	Report    time.Duration `yaml:"report"`
	Stall     time.Duration `yaml:"stall"`
	Overshoot float64       `yaml:"overshoot"`
}

// Exchange sets the talk between nodes.
type Exchange struct {
	Interval time.Duration `yaml:"interval"`
	Lease    time.Duration `yaml:"lease"`
}

// Stop sets a planned stop.
type Stop struct {
	TTL   time.Duration `yaml:"ttl"`
	Grace time.Duration `yaml:"grace"`
}

// Retries bound what a node sends more than once.
type Retries struct {
	Fraction float64 `yaml:"fraction"`
	Burst    float64 `yaml:"burst"`
}

// DefaultEntry is what holds where the file is silent.
func DefaultEntry() Entry {
	return Entry{
		KV:    Service{Timeout: 2 * time.Second},
		Cloud: Service{Timeout: 2 * time.Second},
		Limits: Limits{
			BodyBytes: 1 << 20, HeaderBytes: 32 << 10, AnswerBytes: 4 << 20, QueueEntries: 2000, QueueBytes: 64 << 20,
			Flights: 20000, Deadline: 2 * time.Minute, MaxDeadline: 5 * time.Minute, FirstToken: 10 * time.Second,
			WriteStall: 30 * time.Second, Orphan: 30 * time.Second,
		},
		Claims:   Claims{Shards: 64, Window: 15 * time.Minute, Timeout: 700 * time.Millisecond, Records: 200000, KeptBytes: 64 << 10, Suspect: 4 * time.Second},
		Routing:  Routing{Policy: "estimate", Report: 5 * time.Second, Stall: 3 * time.Second, Overshoot: 1.25},
		Exchange: Exchange{Interval: time.Second, Lease: 60 * time.Second},
		Stop:     Stop{TTL: 30 * time.Second, Grace: 5 * time.Minute},
		Retries:  Retries{Fraction: 0.1, Burst: 20},
	}
}

// LoadEntry reads and checks a settings file of crank-entry.
func LoadEntry(path string) (Entry, error) {
	e := DefaultEntry()
	err := load(path, &e)
	e.Advertise = e.Advertise.orElse(e.Listen)
	return e, err
}

func (l Listeners) orElse(d Listeners) Listeners {
	if l.Callers == "" {
		l.Callers = d.Callers
	}
	if l.Peers == "" {
		l.Peers = d.Peers
	}
	if l.Operators == "" {
		l.Operators = d.Operators
	}
	return l
}

func (e *Entry) check() error {
	var p problems
	p.needText("node.name", e.Node.Name)
	p.needText("node.failure_domain", e.Node.FailureDomain)
	p.needAddr("listen.callers", e.Listen.Callers)
	p.needAddr("listen.peers", e.Listen.Peers)
	p.needAddr("listen.operators", e.Listen.Operators)
	p.needURL("kv.url", e.KV.URL)
	p.needTime("kv.timeout", e.KV.Timeout, 10*time.Millisecond, time.Minute)
	if e.Cloud.URL != "" {
		p.needURL("cloud.url", e.Cloud.URL)
	}
	p.needText("secrets.peer", e.Secrets.Peer)
	p.needText("secrets.operator", e.Secrets.Operator)
	for _, a := range e.Peers {
		p.needAddr("peers", a)
	}
	e.Limits.check(&p)
	e.Claims.check(&p, e.Limits)
	e.Routing.check(&p)
	p.needTime("exchange.interval", e.Exchange.Interval, 50*time.Millisecond, time.Minute)
	p.needTime("exchange.lease", e.Exchange.Lease, time.Second, time.Hour)
	p.needTime("stop.ttl", e.Stop.TTL, 0, time.Hour)
	p.needTime("stop.grace", e.Stop.Grace, 0, time.Hour)
	if e.Retries.Fraction < 0 || e.Retries.Fraction > 1 || e.Retries.Burst < 0 {
		p.add("retries", "needs a fraction of 0 to 1 and a burst not below 0")
	}
	return p.err()
}

func (l Limits) check(p *problems) {
	p.needRange("limits.body_bytes", l.BodyBytes, 1<<10, 64<<20)
	p.needRange("limits.header_bytes", l.HeaderBytes, 4<<10, 1<<20)
	p.needRange("limits.answer_bytes", l.AnswerBytes, 1<<10, 64<<20)
	p.needRange("limits.queue_entries", l.QueueEntries, 0, 1_000_000)
	p.needRange("limits.queue_bytes", l.QueueBytes, 0, 4<<30)
	p.needRange("limits.flights", l.Flights, 1, 1_000_000)
	p.needTime("limits.deadline", l.Deadline, 100*time.Millisecond, l.MaxDeadline)
	p.needTime("limits.deadline_most", l.MaxDeadline, 100*time.Millisecond, time.Hour)
	p.needTime("limits.first_token", l.FirstToken, 10*time.Millisecond, 10*time.Minute)
	p.needTime("limits.write_stall", l.WriteStall, 100*time.Millisecond, 10*time.Minute)
	p.needTime("limits.orphan", l.Orphan, 100*time.Millisecond, 10*time.Minute)
}

func (c Claims) check(p *problems, l Limits) {
	p.needRange("claims.shards", c.Shards, 1, 4096)
	// A record must outlive the request it guards.
	p.needTime("claims.window", c.Window, 2*l.MaxDeadline, 24*time.Hour)
	p.needTime("claims.timeout", c.Timeout, 10*time.Millisecond, 30*time.Second)
	p.needTime("claims.suspect", c.Suspect, 100*time.Millisecond, 10*time.Minute)
	p.needRange("claims.records", c.Records, 1, 10_000_000)
	p.needRange("claims.kept_bytes", c.KeptBytes, 0, 16<<20)
}

func (r Routing) check(p *problems) {
	switch r.Policy {
	case "estimate", "random", "round-robin", "least-outstanding", "two-choices":
	default:
		p.add("routing.policy", "must be estimate, random, round-robin, least-outstanding or two-choices; got %q", r.Policy)
	}
	p.needRange("routing.subset", r.Subset, 0, 100_000)
	p.needTime("routing.report", r.Report, 50*time.Millisecond, 10*time.Minute)
	p.needTime("routing.stall", r.Stall, 50*time.Millisecond, 10*time.Minute)
	if r.Overshoot < 1 || r.Overshoot > 100 {
		p.add("routing.overshoot", "must be 1 to 100; got %g", r.Overshoot)
	}
}
