package telemetry

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Gateway are the instruments of a gateway. docs/OPERATIONS.md tells how to read them.
type Gateway struct {
	handler  http.Handler
	meter    metric.Meter
	requests metric.Int64Counter
	sends    metric.Int64Counter
	refusals metric.Int64Counter
	orders   metric.Int64Counter
	first    metric.Float64Histogram
	whole    metric.Float64Histogram
}

// NewGateway returns the instruments and their Prometheus endpoint.
func NewGateway() (*Gateway, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	g := &Gateway{
		handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{}),
		meter:   sdk.NewMeterProvider(sdk.WithReader(exp)).Meter("crank-gateway"),
	}
	return g, g.make()
}

func (g *Gateway) make() (err error) {
	counter := func(name, what string) metric.Int64Counter {
		c, e := g.meter.Int64Counter("crankridge_gateway_"+name, metric.WithDescription(what))
		err = firstError(err, e)
		return c
	}
	seconds := func(name, what string) metric.Float64Histogram {
		h, e := g.meter.Float64Histogram("crankridge_gateway_"+name, metric.WithDescription(what), metric.WithUnit("s"),
			metric.WithExplicitBucketBoundaries(secondsBounds...))
		err = firstError(err, e)
		return h
	}
	g.requests = counter("requests", "answers to clients, by route and status")
	g.sends = counter("sends", "requests sent to servers, by service and fate; all but the first of a request are retries")
	g.refusals = counter("refusals", "answers of the gateway's own, by code")
	g.orders = counter("orders", "orders of servers, by result")
	g.first = seconds("first_event", "time from a request's arrival to its first event, by route")
	g.whole = seconds("answer", "time from a request's arrival to the end of its answer, by route")
	return err
}

// Handler serves the Prometheus endpoint.
func (g *Gateway) Handler() http.Handler { return g.handler }

// Gauge adds a value that is read when it is asked for.
func (g *Gateway) Gauge(name, what string, read func() float64) error {
	_, err := g.meter.Float64ObservableGauge("crankridge_gateway_"+name, metric.WithDescription(what),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	return err
}

// Answered counts an answer that came from a server.
func (g *Gateway) Answered(route, status string, took time.Duration) {
	g.requests.Add(context.Background(), 1, attrs("route", route, "status", status))
	g.whole.Record(context.Background(), took.Seconds(), attrs("route", route))
}

// Refused counts an answer of the gateway's own.
func (g *Gateway) Refused(code string) {
	g.refusals.Add(context.Background(), 1, attrs("code", code))
}

// Sent counts a send by what became of it.
func (g *Gateway) Sent(service, fate string) {
	g.sends.Add(context.Background(), 1, attrs("service", service, "fate", fate))
}

// FirstEvent records the time to the first event of a stream.
func (g *Gateway) FirstEvent(route string, took time.Duration) {
	g.first.Record(context.Background(), took.Seconds(), attrs("route", route))
}
