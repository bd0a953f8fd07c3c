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

// queuedReportInterval is the maximum polling interval while requests are queued.
// It is also the maximum time between two checks of which polls are due.
const queuedReportInterval = 300 * time.Millisecond

// newReadResponse returns up to maxReadTokens of the tokens that follow the
// position after. The answer is included only if no token is left out.
func newReadResponse(after int64, tokens []string, answer *request.Answer) *peer.ReadResponse {
	out := &peer.ReadResponse{Found: true}
	truncated := len(tokens) > maxReadTokens
	if truncated {
		tokens = tokens[:maxReadTokens]
	}
	for i, t := range tokens {
		out.Events = append(out.Events, &peer.Event{Id: after + int64(i) + 1, Text: t})
	}
	if answer != nil && !truncated {
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
	_, tokens := f.Delivered()
	klog.InfoS("request", "key", req.Key, "customer", req.Customer, "upstream", up, "outcome", answer.Outcome,
		"status", answer.Status, "code", answer.Code, "tokens", tokens, "ms", c.Now().Sub(f.StartedAt).Milliseconds())
}

// PollEngines requests a load report from each engine of this node's subset that
// has not sent one within the polling interval, until ctx ends. Answers also carry
// reports, but a node whose requests are all queued gets none. The interval is
// therefore shorter while requests are queued.
func (c *Coordinator) PollEngines(ctx context.Context) {
	for ctx.Err() == nil {
		interval := c.Settings.Routing.Report
		if c.queues.waiting() {
			interval = min(interval, queuedReportInterval)
		}
		for _, name := range c.Registry.Names(upstream.KindEngine) {
			if c.Registry.ReportDue(name, interval) && c.inSubset(name) {
				go c.pollEngine(ctx, name)
			}
		}
		sleep(ctx, request.Jitter(min(c.Settings.Routing.Report, queuedReportInterval)))
	}
}

func (c *Coordinator) inSubset(name string) bool {
	up, ok := c.Registry.Get(name)
	if !ok {
		return false
	}
	for _, m := range up.Models {
		for _, cand := range c.candidates(m.Name, nil) {
			if cand.Name == name {
				return true
			}
		}
	}
	return false
}

func (c *Coordinator) pollEngine(ctx context.Context, name string) {
	up, ok := c.Registry.Get(name)
	if !ok {
		return
	}
	state, err := c.Engines.State(ctx, up.Addr, c.Registry.CacheSeq(name))
	if err != nil {
		c.Registry.RecordFailure(name, true)
		return
	}
	c.Registry.UpdateLoad(name, time.UnixMilli(state.AtMS), float64(state.Running), float64(state.Waiting), float64(state.QueuedTokens), state.StepMS)
	c.Registry.ApplyCacheEvents(name, state.CacheSeq, state.Cache)
	c.Registry.RecordSuccess(name)
	if state.LeavingMS > 0 {
		c.Registry.MarkLeaving(name, time.UnixMilli(state.LeavingMS))
	}
}

// Explain returns the recorded decisions about the request whose full key
// (customer/key) is subject, or all decisions if subject is empty.
func (c *Coordinator) Explain(subject string) []telemetry.Decision {
	return c.decisions.ForSubject(subject)
}

// FlightDump describes a request in the state dump.
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

// Flights returns a bounded number of requests for the state dump.
func (c *Coordinator) Flights() []FlightDump {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []FlightDump
	for _, f := range c.flights {
		if len(out) == maxDumpedFlights {
			break
		}
		_, tokens := f.Delivered()
		dump := FlightDump{Key: f.Key, Repeatable: f.Repeatable, Priority: f.Priority, AgeMS: c.Now().Sub(f.StartedAt).Milliseconds(), Tokens: tokens}
		dump.Engine, _ = f.Location()
		if a := f.Answer(); a != nil {
			dump.Outcome = a.Outcome
		}
		out = append(out, dump)
	}
	return out
}

// QueueDump describes the admission queue of a model in the state dump.
type QueueDump struct {
	Model   string  `json:"model"`
	Waiting int     `json:"waiting"`
	Bytes   int     `json:"bytes"`
	HoldS   float64 `json:"hold_s"` // average time a request holds its slot
}

// Queues returns the admission queues for the state dump.
func (c *Coordinator) Queues() []QueueDump {
	c.queues.mu.Lock()
	defer c.queues.mu.Unlock()
	var out []QueueDump
	for model, q := range c.queues.byModel {
		out = append(out, QueueDump{model, q.queue.Len(), q.queue.Bytes(), q.holdSeconds})
	}
	return out
}

// RetriesLeft returns the retries left in the node's budget.
func (c *Coordinator) RetriesLeft() float64 { return c.retryBudget.Available() }
