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

// secondsBounds are the buckets of all histograms of times, in seconds.
var secondsBounds = []float64{.0005, .001, .002, .005, .01, .02, .031, .05, .1, .2, .4, .81, 1.5, 3, 6, 12, 30}

// instruments makes the instruments of one process, all named with a prefix,
// and serves them. The errors of all that were made are in err.
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

// counter makes a counter.
func (i *instruments) counter(name, what string) metric.Int64Counter {
	c, err := i.meter.Int64Counter(i.prefix+name, metric.WithDescription(what))
	i.err = errors.Join(i.err, err)
	return c
}

// gauge makes a gauge that keeps what was recorded last.
func (i *instruments) gauge(name, what string) metric.Int64Gauge {
	g, err := i.meter.Int64Gauge(i.prefix+name, metric.WithDescription(what))
	i.err = errors.Join(i.err, err)
	return g
}

// seconds makes a histogram of times in seconds.
func (i *instruments) seconds(name, what string) metric.Float64Histogram {
	h, err := i.meter.Float64Histogram(i.prefix+name, metric.WithDescription(what), metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(secondsBounds...))
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
