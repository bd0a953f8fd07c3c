// Package telemetry provides the metrics, decision journal, log writer, traffic
// counters and dependency tracking of a process.
package telemetry

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// Metrics holds the instruments of crank-entry and crank-control, described in
// docs/OPERATING.md.
type Metrics struct {
	handler       http.Handler
	requests      metric.Int64Counter
	firstToken    metric.Float64Histogram
	addedLatency  metric.Float64Histogram
	tokenInterval metric.Float64Histogram
	recomputed    metric.Int64Counter
	carried       metric.Int64Counter
	claims        metric.Int64Counter
	moves         metric.Int64Counter
	dropped       metric.Int64Counter
	planner       metric.Int64Counter
}

// NewMetrics creates the instruments of the named process.
func NewMetrics(process string) (*Metrics, error) {
	inst, err := newInstruments(process, "crankridge_")
	if err != nil {
		return nil, err
	}
	m := &Metrics{
		handler:       inst.handler,
		requests:      inst.counter("requests", "requests ended, by kind and outcome"),
		firstToken:    inst.durationHistogram("first_token", "time from a request's arrival to its first token"),
		addedLatency:  inst.durationHistogram("added", "time a request spent here before it was sent on"),
		tokenInterval: inst.durationHistogram("between_tokens", "time between two tokens of a stream"),
		recomputed:    inst.counter("tokens_recomputed", "prompt and answer tokens computed again, by cause"),
		carried:       inst.counter("tokens_carried", "tokens of prompt and answer with which a moved stream went on, by cause"),
		claims:        inst.counter("claims", "claims of requests not repeatable, by result"),
		moves:         inst.counter("moves", "streams whose upstream left, by what was done"),
		dropped:       inst.counter("dropped", "late or superseded messages dropped, by kind"),
		planner:       inst.counter("planner_actions", "planner actions, by kind and result"),
	}
	return m, inst.err
}

// Handler serves the Prometheus endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Request counts a finished request.
func (m *Metrics) Request(kind, outcome string) {
	m.requests.Add(context.Background(), 1, attrs("kind", kind, "outcome", outcome))
}

// FirstToken records the time from a request's arrival to its first token.
func (m *Metrics) FirstToken(d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds())
}

// AddedLatency records the time a request spent in this process before it was
// forwarded.
func (m *Metrics) AddedLatency(d time.Duration) {
	m.addedLatency.Record(context.Background(), d.Seconds())
}

// TokenInterval records the time between two tokens of a stream.
func (m *Metrics) TokenInterval(d time.Duration) {
	m.tokenInterval.Record(context.Background(), d.Seconds())
}

// MovedTokens counts the tokens carried over when a stream was moved, and those
// among them that had to be recomputed.
func (m *Metrics) MovedTokens(cause string, carried, recomputedTokens int) {
	m.carried.Add(context.Background(), int64(carried), attrs("cause", cause))
	m.recomputed.Add(context.Background(), int64(recomputedTokens), attrs("cause", cause))
}

// Claim counts a claim, by result.
func (m *Metrics) Claim(result string) {
	m.claims.Add(context.Background(), 1, attrs("result", result))
}

// Move counts a stream whose upstream went away, by how it was handled.
func (m *Metrics) Move(how string) { m.moves.Add(context.Background(), 1, attrs("how", how)) }

// Dropped counts a late or superseded message that was discarded.
func (m *Metrics) Dropped(kind string) {
	m.dropped.Add(context.Background(), 1, attrs("kind", kind))
}

// Planner counts a planner action, by kind and result.
func (m *Metrics) Planner(kind, result string) {
	m.planner.Add(context.Background(), 1, attrs("kind", kind, "result", result))
}
