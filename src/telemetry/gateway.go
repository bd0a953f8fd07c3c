package telemetry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// Gateway are the instruments of a gateway. docs/OPERATIONS.md tells how to read them.
type GatewayMetrics struct {
	made     *instruments
	requests metric.Int64Counter
	sends    metric.Int64Counter
	refusals metric.Int64Counter
	retries  metric.Int64Counter
	shareOf  metric.Int64Gauge
	added    metric.Float64Histogram
	first    metric.Float64Histogram
	gaps     metric.Float64Histogram
	whole    metric.Float64Histogram
}

// NewGateway returns the instruments and their Prometheus endpoint.
func NewGatewayMetrics() (*GatewayMetrics, error) {
	made, err := newInstruments("crank-gateway", "crankridge_gateway_")
	if err != nil {
		return nil, err
	}
	g := &GatewayMetrics{
		made:     made,
		requests: made.counter("requests", "answers to clients, by route and status"),
		sends:    made.counter("sends", "requests sent to servers, by service and fate; all but the first of a request are retries"),
		refusals: made.counter("refusals", "answers of the gateway's own, by code"),
		retries:  made.counter("retries", "repeated sends that the retry budget granted or refused, by service"),
		shareOf:  made.gauge("retry_nodes", "nodes among which the retry budget was divided last, by service"),
		added:    made.seconds("added", "time from a request's arrival to its first send, by route"),
		first:    made.seconds("first_event", "time from a request's arrival to its first event, by route"),
		gaps:     made.seconds("between_events", "time between two parts of a stream as they were passed on"),
		whole:    made.seconds("answer", "time from a request's arrival to the end of its answer, by route"),
	}
	return g, made.err
}

// Handler serves the Prometheus endpoint.
func (g *GatewayMetrics) Handler() http.Handler { return g.made.handler }

// Gauge adds a value that is read when it is asked for.
func (g *GatewayMetrics) Gauge(name, what string, read func() float64) error {
	_, err := g.made.meter.Float64ObservableGauge(g.made.prefix+name, metric.WithDescription(what),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// Answered counts an answer that came from a server.
func (g *GatewayMetrics) Answered(route, status string, took time.Duration) {
	g.requests.Add(context.Background(), 1, attrs("route", route, "status", status))
	g.whole.Record(context.Background(), took.Seconds(), attrs("route", route))
}

// Refused counts an answer of the gateway's own.
func (g *GatewayMetrics) Refused(code string) {
	g.refusals.Add(context.Background(), 1, attrs("code", code))
}

// Sent counts a send by what became of it.
func (g *GatewayMetrics) Sent(service, fate string) {
	g.sends.Add(context.Background(), 1, attrs("service", service, "fate", fate))
}

// Retry counts a decision of the retry budget, which was divided among so many nodes.
func (g *GatewayMetrics) Retry(service string, granted bool, nodes int) {
	g.retries.Add(context.Background(), 1, attrs("service", service, "granted", strconv.FormatBool(granted)))
	g.shareOf.Record(context.Background(), int64(nodes), attrs("service", service))
}

// Added records the time before a request was first sent on.
func (g *GatewayMetrics) AddedLatency(route string, took time.Duration) {
	g.added.Record(context.Background(), took.Seconds(), attrs("route", route))
}

// Gap records the time between two parts of a stream.
func (g *GatewayMetrics) EventInterval(took time.Duration) {
	g.gaps.Record(context.Background(), took.Seconds())
}

// FirstEvent records the time to the first event of a stream.
func (g *GatewayMetrics) FirstEvent(route string, took time.Duration) {
	g.first.Record(context.Background(), took.Seconds(), attrs("route", route))
}
