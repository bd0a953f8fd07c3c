// Package telemetry gives each process its metrics, its state dump and its
// count of control bytes.
package telemetry

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// Metrics are the instruments of a process. docs/OPERATING.md tells how to read them.
type Metrics struct {
	handler    http.Handler
	requests   metric.Int64Counter
	firstToken metric.Float64Histogram
	added      metric.Float64Histogram
	between    metric.Float64Histogram
	recomputed metric.Int64Counter
	carried    metric.Int64Counter
	claims     metric.Int64Counter
	moves      metric.Int64Counter
	dropped    metric.Int64Counter
	planner    metric.Int64Counter
}

// NewMetrics returns the instruments and their Prometheus endpoint.
func NewMetrics(process string) (*Metrics, error) {
	made, err := newInstruments(process, "crankridge_")
	if err != nil {
		return nil, err
	}
	m := &Metrics{
		handler:    made.handler,
		requests:   made.counter("requests", "requests ended, by kind and outcome"),
		firstToken: made.seconds("first_token", "time from a request's arrival to its first token"),
		added:      made.seconds("added", "time a request spent here before it was sent on"),
		between:    made.seconds("between_tokens", "time between two tokens of a stream"),
		recomputed: made.counter("tokens_recomputed", "prompt and answer tokens computed again, by cause"),
		carried:    made.counter("tokens_carried", "tokens of prompt and answer with which a moved stream went on, by cause"),
		claims:     made.counter("claims", "claims of requests not repeatable, by result"),
		moves:      made.counter("moves", "streams whose upstream left, by what was done"),
		dropped:    made.counter("dropped", "late or superseded messages dropped, by kind"),
		planner:    made.counter("planner_actions", "planner actions, by kind and result"),
	}
	return m, made.err
}

// Handler serves the Prometheus endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Request counts an ended request.
func (m *Metrics) Request(kind, outcome string) {
	m.requests.Add(context.Background(), 1, attrs("kind", kind, "outcome", outcome))
}

// FirstToken records the time to the first token.
func (m *Metrics) FirstToken(d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds())
}

// Added records the time before a request was sent on.
func (m *Metrics) AddedLatency(d time.Duration) { m.added.Record(context.Background(), d.Seconds()) }

// Between records the time between two tokens.
func (m *Metrics) TokenInterval(d time.Duration) { m.between.Record(context.Background(), d.Seconds()) }

// Recomputed counts, of the tokens a moved stream went on with, those that
// had to be computed again.
func (m *Metrics) Recomputed(cause string, carried, tokens int) {
	m.carried.Add(context.Background(), int64(carried), attrs("cause", cause))
	m.recomputed.Add(context.Background(), int64(tokens), attrs("cause", cause))
}

// Claim counts a claim.
func (m *Metrics) Claim(result string) {
	m.claims.Add(context.Background(), 1, attrs("result", result))
}

// Move counts a stream whose upstream left.
func (m *Metrics) Move(how string) { m.moves.Add(context.Background(), 1, attrs("how", how)) }

// Dropped counts a message that came too late.
func (m *Metrics) Dropped(kind string) {
	m.dropped.Add(context.Background(), 1, attrs("kind", kind))
}

// Planner counts a planner action.
func (m *Metrics) Planner(kind, result string) {
	m.planner.Add(context.Background(), 1, attrs("kind", kind, "result", result))
}
