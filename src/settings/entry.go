package settings

import "time"

// Node identifies a process and its location.
type Node struct {
	Name          string `yaml:"name"`
	VM            string `yaml:"vm"`
	FailureDomain string `yaml:"failure_domain"`
	Region        string `yaml:"region"`
}

// Listeners holds one host:port address for each kind of client.
type Listeners struct {
	Callers   string `yaml:"callers"`
	Peers     string `yaml:"peers"`
	Operators string `yaml:"operators"`
}

// Service holds the URL and request timeout of a platform service.
type Service struct {
	URL     string        `yaml:"url"`
	Timeout time.Duration `yaml:"timeout"`
}

// Secrets holds the credentials required on the peers' and operators' listeners.
type Secrets struct {
	Peer     string `yaml:"peer"`
	Operator string `yaml:"operator"`
}

// Entry holds the settings of crank-entry.
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

// Limits bounds the resources that callers can occupy on a node.
type Limits struct {
	BodyBytes    int           `yaml:"body_bytes"`
	HeaderBytes  int           `yaml:"header_bytes"`
	AnswerBytes  int           `yaml:"answer_bytes"`
	QueueEntries int           `yaml:"queue_entries"`
	QueueBytes   int           `yaml:"queue_bytes"`
	Flights      int           `yaml:"flights"`       // requests in progress
	Deadline     time.Duration `yaml:"deadline"`      // for requests that set none
	MaxDeadline  time.Duration `yaml:"deadline_most"` // that a request may set
	FirstToken   time.Duration `yaml:"first_token"`   // default target for the time to first token
	WriteStall   time.Duration `yaml:"write_stall"`   // timeout of a write to a caller
	Orphan       time.Duration `yaml:"orphan"`        // time after which an unread repeatable request is dropped
}

// Claims configures the records of request keys, which ensure that a request
// marked not repeatable runs at most once.
type Claims struct {
	Shards     int           `yaml:"shards"`
	Window     time.Duration `yaml:"window"`      // retention time of a record
	Timeout    time.Duration `yaml:"timeout"`     // of a call to a keeper or coordinator
	Records    int           `yaml:"records"`     // maximum number of records on a node
	KeptBytes  int           `yaml:"kept_bytes"`  // larger answers are not stored
	SingleNode bool          `yaml:"single_node"` // a single keeper may grant claims
	Suspect    time.Duration `yaml:"suspect"`     // a node whose calls fail for longer is replaced as a keeper
}

// Routing configures how upstreams are monitored and selected.
type Routing struct {
	Policy    string        `yaml:"policy"`
	Subset    int           `yaml:"subset"`    // engines of a model that this node uses; 0 for all
	Report    time.Duration `yaml:"report"`    // age at which a new load report is requested
	Stall     time.Duration `yaml:"stall"`     // time without a token after which another engine is tried
	Overshoot float64       `yaml:"overshoot"` // maximum number of requests per engine slot
}

// Exchange configures the state exchange between nodes.
type Exchange struct {
	Interval time.Duration `yaml:"interval"`
	Lease    time.Duration `yaml:"lease"` // TTL of the node's record in the key-value service
}

// Stop configures graceful shutdown.
type Stop struct {
	TTL   time.Duration `yaml:"ttl"`   // how long callers may use an address list, and a leaving node accepts requests
	Grace time.Duration `yaml:"grace"` // time after TTL for open requests to end
}

// Retries configures a node's retry budget.
type Retries struct {
	Fraction float64 `yaml:"fraction"` // retries per request
	Burst    float64 `yaml:"burst"`    // retries that can accumulate
}

// DefaultEntry returns the values of fields that are not in the file.
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

// LoadEntry reads and validates a settings file of crank-entry.
func LoadEntry(path string) (Entry, error) {
	cfg := DefaultEntry()
	err := load(path, &cfg)
	cfg.Advertise = cfg.Advertise.withDefaults(cfg.Listen)
	return cfg, err
}

func (l Listeners) withDefaults(defaults Listeners) Listeners {
	if l.Callers == "" {
		l.Callers = defaults.Callers
	}
	if l.Peers == "" {
		l.Peers = defaults.Peers
	}
	if l.Operators == "" {
		l.Operators = defaults.Operators
	}
	return l
}

func (e *Entry) validate() error {
	var errs fieldErrors
	errs.requireText("node.name", e.Node.Name)
	errs.requireText("node.failure_domain", e.Node.FailureDomain)
	errs.requireAddr("listen.callers", e.Listen.Callers)
	errs.requireAddr("listen.peers", e.Listen.Peers)
	errs.requireAddr("listen.operators", e.Listen.Operators)
	errs.requireURL("kv.url", e.KV.URL)
	errs.requireDuration("kv.timeout", e.KV.Timeout, 10*time.Millisecond, time.Minute)
	if e.Cloud.URL != "" {
		errs.requireURL("cloud.url", e.Cloud.URL)
	}
	errs.requireText("secrets.peer", e.Secrets.Peer)
	errs.requireText("secrets.operator", e.Secrets.Operator)
	for _, a := range e.Peers {
		errs.requireAddr("peers", a)
	}
	e.Limits.validate(&errs)
	e.Claims.validate(&errs, e.Limits)
	e.Routing.validate(&errs)
	errs.requireDuration("exchange.interval", e.Exchange.Interval, 50*time.Millisecond, time.Minute)
	errs.requireDuration("exchange.lease", e.Exchange.Lease, time.Second, time.Hour)
	errs.requireDuration("stop.ttl", e.Stop.TTL, 0, time.Hour)
	errs.requireDuration("stop.grace", e.Stop.Grace, 0, time.Hour)
	if e.Retries.Fraction < 0 || e.Retries.Fraction > 1 || e.Retries.Burst < 0 {
		errs.add("retries", "needs a fraction from 0 to 1 and a burst of at least 0")
	}
	return errs.join()
}

func (l Limits) validate(errs *fieldErrors) {
	errs.requireInt("limits.body_bytes", l.BodyBytes, 1<<10, 64<<20)
	errs.requireInt("limits.header_bytes", l.HeaderBytes, 4<<10, 1<<20)
	errs.requireInt("limits.answer_bytes", l.AnswerBytes, 1<<10, 64<<20)
	errs.requireInt("limits.queue_entries", l.QueueEntries, 0, 1_000_000)
	errs.requireInt("limits.queue_bytes", l.QueueBytes, 0, 4<<30)
	errs.requireInt("limits.flights", l.Flights, 1, 1_000_000)
	errs.requireDuration("limits.deadline", l.Deadline, 100*time.Millisecond, l.MaxDeadline)
	errs.requireDuration("limits.deadline_most", l.MaxDeadline, 100*time.Millisecond, time.Hour)
	errs.requireDuration("limits.first_token", l.FirstToken, 10*time.Millisecond, 10*time.Minute)
	errs.requireDuration("limits.write_stall", l.WriteStall, 100*time.Millisecond, 10*time.Minute)
	errs.requireDuration("limits.orphan", l.Orphan, 100*time.Millisecond, 10*time.Minute)
}

func (c Claims) validate(errs *fieldErrors, l Limits) {
	errs.requireInt("claims.shards", c.Shards, 1, 4096)
	// Records must outlive the requests that they deduplicate.
	errs.requireDuration("claims.window", c.Window, 2*l.MaxDeadline, 24*time.Hour)
	errs.requireDuration("claims.timeout", c.Timeout, 10*time.Millisecond, 30*time.Second)
	errs.requireDuration("claims.suspect", c.Suspect, 100*time.Millisecond, 10*time.Minute)
	errs.requireInt("claims.records", c.Records, 1, 10_000_000)
	errs.requireInt("claims.kept_bytes", c.KeptBytes, 0, 16<<20)
}

func (r Routing) validate(errs *fieldErrors) {
	switch r.Policy {
	case "estimate", "random", "round-robin", "least-outstanding", "two-choices":
	default:
		errs.add("routing.policy", "must be estimate, random, round-robin, least-outstanding or two-choices; got %q", r.Policy)
	}
	errs.requireInt("routing.subset", r.Subset, 0, 100_000)
	errs.requireDuration("routing.report", r.Report, 50*time.Millisecond, 10*time.Minute)
	errs.requireDuration("routing.stall", r.Stall, 50*time.Millisecond, 10*time.Minute)
	if r.Overshoot < 1 || r.Overshoot > 100 {
		errs.add("routing.overshoot", "must be 1 to 100; got %g", r.Overshoot)
	}
}
