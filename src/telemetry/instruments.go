package telemetry

import (
	"errors"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// durationBuckets are the histogram bucket bounds of all durations, in seconds.
// They include the default latency targets of crankctl load, .031 and .81.
var durationBuckets = []float64{.0005, .001, .002, .005, .01, .02, .031, .05, .1, .2, .4, .81, 1.5, 3, 6, 12, 30}

// instruments creates the metric instruments of one process under a common name
// prefix and serves them. err joins the errors of all instruments created.
type instruments struct {
	meter   metric.Meter
	handler http.Handler
	prefix  string
	err     error
}

func newInstruments(process, prefix string) (*instruments, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprom.New(otelprom.WithRegisterer(registry), otelprom.WithoutScopeInfo(), otelprom.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	return &instruments{
		meter:   sdk.NewMeterProvider(sdk.WithReader(exporter)).Meter(process),
		handler: promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		prefix:  prefix,
	}, nil
}

func (i *instruments) counter(name, help string) metric.Int64Counter {
	c, err := i.meter.Int64Counter(i.prefix+name, metric.WithDescription(help))
	i.err = errors.Join(i.err, err)
	return c
}

func (i *instruments) gauge(name, help string) metric.Int64Gauge {
	g, err := i.meter.Int64Gauge(i.prefix+name, metric.WithDescription(help))
	i.err = errors.Join(i.err, err)
	return g
}

// durationHistogram creates a histogram of durations in seconds.
func (i *instruments) durationHistogram(name, help string) metric.Float64Histogram {
	h, err := i.meter.Float64Histogram(i.prefix+name, metric.WithDescription(help), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(durationBuckets...))
	i.err = errors.Join(i.err, err)
	return h
}

func attrs(kv ...string) metric.MeasurementOption {
	out := make([]attribute.KeyValue, 0, len(kv)/2)
	for i := 0; i+1 < len(kv); i += 2 {
		out = append(out, attribute.String(kv[i], kv[i+1]))
	}
	return metric.WithAttributes(out...)
}
