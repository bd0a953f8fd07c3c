// Package telemetry gives each process its metrics, its state dump and its
// count of control bytes.
package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
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

var secondsBounds = []float64{.0005, .001, .002, .005, .01, .02, .031, .05, .1, .2, .4, .81, 1.5, 3, 6, 12, 30}

// NewMetrics returns the instruments and their Prometheus endpoint.
func NewMetrics(process string) (*Metrics, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	meter := sdk.NewMeterProvider(sdk.WithReader(exp)).Meter(process)
	m := &Metrics{handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{})}
	return m, m.make(meter)
}

func (m *Metrics) make(meter metric.Meter) (err error) {
	counter := func(name, what string) metric.Int64Counter {
		c, e := meter.Int64Counter("crankridge_"+name, metric.WithDescription(what))
		err = firstError(err, e)
		return c
	}
	seconds := func(name, what string) metric.Float64Histogram {
		h, e := meter.Float64Histogram("crankridge_"+name, metric.WithDescription(what), metric.WithUnit("s"),
			metric.WithExplicitBucketBoundaries(secondsBounds...))
		err = firstError(err, e)
		return h
	}
	m.requests = counter("requests", "requests ended, by kind and outcome")
	m.firstToken = seconds("first_token", "time from a request's arrival to its first token")
	m.added = seconds("added", "time a request spent here before it was sent on")
	m.between = seconds("between_tokens", "time between two tokens of a stream")
	m.recomputed = counter("tokens_recomputed", "prompt and answer tokens computed again, by cause")
	m.carried = counter("tokens_carried", "tokens of prompt and answer with which a moved stream went on, by cause")
	m.claims = counter("claims", "claims of requests not repeatable, by result")
	m.moves = counter("moves", "streams whose upstream left, by what was done")
	m.dropped = counter("dropped", "late or superseded messages dropped, by kind")
	m.planner = counter("planner_actions", "planner actions, by kind and result")
	return err
}

func firstError(a, b error) error {
	if a != nil {
		return a
	}
	return b
}

// Handler serves the Prometheus endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }

func attrs(kv ...string) metric.MeasurementOption {
	out := make([]attribute.KeyValue, 0, len(kv)/2)
	for i := 0; i+1 < len(kv); i += 2 {
		out = append(out, attribute.String(kv[i], kv[i+1]))
	}
	return metric.WithAttributes(out...)
}

// Request counts an ended request.
func (m *Metrics) Request(kind, outcome string) {
	m.requests.Add(context.Background(), 1, attrs("kind", kind, "outcome", outcome))
}

// FirstToken records the time to the first token.
func (m *Metrics) FirstToken(d time.Duration) {
	m.firstToken.Record(context.Background(), d.Seconds())
}

// Added records the time before a request was sent on.
func (m *Metrics) Added(d time.Duration) { m.added.Record(context.Background(), d.Seconds()) }

// Between records the time between two tokens.
func (m *Metrics) Between(d time.Duration) { m.between.Record(context.Background(), d.Seconds()) }

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
