package serve

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/peer"
	"github.com/crankridge/crankridge/src/request"
	"github.com/crankridge/crankridge/src/telemetry"
	"github.com/crankridge/crankridge/src/upstream"
)

// waitingReport is how old a report may be while requests wait.
const maxReportAgeQueued = 300 * time.Millisecond

func newReadResponse(after int64, tokens []string, answer *request.Answer) *peer.ReadResponse {
	out := &peer.ReadResponse{Found: true}
	more := len(tokens) > maxReadTokens
	if more {
		tokens = tokens[:maxReadTokens]
	}
	for i, t := range tokens {
		out.Events = append(out.Events, &peer.Event{Id: after + int64(i) + 1, Text: t})
	}
	if answer != nil && !more {
		out.Done = true
		out.Answer = answer.Encode()
	}
	return out
}

func (c *Coordinator) logOutcome(f *request.Flight, req Request, answer request.Answer) {
	up, _ := f.Location()
	if req.Call != nil {
		up = req.Call.Service
	}
	_, n := f.Delivered()
	klog.InfoS("request", "key", req.Key, "customer", req.Customer, "upstream", up, "outcome", answer.Outcome,
		"status", answer.Status, "code", answer.Code, "tokens", n, "ms", c.Now().Sub(f.StartedAt).Milliseconds())
}

// Poll asks each followed engine for its report unless one came on an answer
// within the interval, until ctx ends. While requests wait here the interval
// is short: a node that gets no place gets no answers, and with old reports it
// would go on seeing no place.
func (c *Coordinator) PollEngines(ctx context.Context) {
	for ctx.Err() == nil {
		every := c.Settings.Routing.Report
		if c.queues.waiting() {
			every = min(every, maxReportAgeQueued)
		}
		for _, name := range c.Registry.Names(upstream.KindEngine) {
			if c.Registry.ReportDue(name, every) && c.inSubset(name) {
				go c.pollEngine(ctx, name)
			}
		}
		sleep(ctx, request.Jitter(min(c.Settings.Routing.Report, maxReportAgeQueued)))
	}
}

func (c *Coordinator) inSubset(name string) bool {
	p, ok := c.Registry.Get(name)
	if !ok {
		return false
	}
	for _, m := range p.Models {
		for _, cand := range c.candidates(m.Name, nil) {
			if cand.Name == name {
				return true
			}
		}
	}
	return false
}

func (c *Coordinator) pollEngine(ctx context.Context, name string) {
	p, ok := c.Registry.Get(name)
	if !ok {
		return
	}
	st, err := c.Engines.State(ctx, p.Addr, c.Registry.CacheSeq(name))
	if err != nil {
		c.Registry.RecordFailure(name, true)
		return
	}
	c.Registry.UpdateLoad(name, time.UnixMilli(st.AtMS), float64(st.Running), float64(st.Waiting), float64(st.QueuedTokens), st.StepMS)
	c.Registry.ApplyCacheEvents(name, st.CacheSeq, st.Cache)
	c.Registry.RecordSuccess(name)
	if st.LeavingMS > 0 {
		c.Registry.MarkLeaving(name, time.UnixMilli(st.LeavingMS))
	}
}

// Explain returns what was decided about a key or an upstream, "" for all.
func (c *Coordinator) Explain(subject string) []telemetry.Decision {
	return c.decisions.ForSubject(subject)
}

// FlightDump is a request as the state dump shows it.
type FlightDump struct {
	Key        string          `json:"key"`
	Repeatable bool            `json:"repeatable"`
	Priority   int             `json:"priority"`
	AgeMS      int64           `json:"age_ms"`
	Tokens     int             `json:"tokens"`
	Engine     string          `json:"engine,omitempty"`
	Outcome    request.Outcome `json:"outcome,omitempty"`
}

const maxDumpedFlights = 200

// Flights returns up to a bounded number of requests for the state dump.
func (c *Coordinator) Flights() []FlightDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []FlightDump
	for _, f := range c.flights {
		if len(out) == maxDumpedFlights {
			break
		}
		_, n := f.Delivered()
		d := FlightDump{Key: f.Key, Repeatable: f.Repeatable, Priority: f.Priority, AgeMS: c.Now().Sub(f.StartedAt).Milliseconds(), Tokens: n}
		d.Engine, _ = f.Location()
		if a := f.Answer(); a != nil {
			d.Outcome = a.Outcome
		}
		out = append(out, d)
	}
	return out
}

// QueueDump is a model's queue as the state dump shows it.
type QueueDump struct {
	Model   string  `json:"model"`
	Waiting int     `json:"waiting"`
	Bytes   int     `json:"bytes"`
	HoldS   float64 `json:"hold_s"`
}

// Queues returns the admission queues for the state dump.
func (c *Coordinator) Queues() []QueueDump {
	c.queues.mu.Lock()
	defer c.queues.mu.Unlock()
	var out []QueueDump
	for model, ln := range c.queues.byModel {
		out = append(out, QueueDump{model, ln.queue.Len(), ln.queue.Bytes(), ln.holdSeconds})
	}
	return out
}

// Retries tells how many retries the node may still make.
func (c *Coordinator) RetriesLeft() float64 { return c.retryBudget.Available() }
