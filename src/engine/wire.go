// Package engine is a client of model engines. Their API is the OpenAI API with
// the extensions declared here; answers carry an ORCA (Open Request Cost
// Aggregation) load report in a header.
package engine

import (
	"github.com/cespare/xxhash/v2"
)

// Headers of the engine API.
const (
	HeaderRequestID    = "X-Request-Id"          // ID of the stream
	HeaderLoad         = "endpoint-load-metrics" // ORCA, JSON form
	LoadPrefix         = "JSON "                 // precedes the load report in HeaderLoad
	HeaderLeaving      = "X-Leaving-Deadline-Ms" // Unix ms; set if the engine is leaving
	HeaderPulledTokens = "X-Pulled-Tokens"       // tokens of the KV cache fetched by an import
)

// State is an engine's report. It may be outdated; AtMS is the time it describes.
// AtMS and LeavingMS are points in time, but StepMS is a duration.
type State struct {
	Name         string        `json:"name"`
	AtMS         int64         `json:"at_ms"` // Unix ms
	Models       []LoadedModel `json:"models"`
	Loading      []string      `json:"loading"`
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	QueuedTokens int           `json:"queued_tokens"` // prompt tokens not yet prefilled
	Slots        int           `json:"slots"`
	PrefillTPS   float64       `json:"prefill_tps"` // prefill rate in tokens per second
	StepMS       float64       `json:"step_ms"`     // time between tokens of a stream, ms
	LeavingMS    int64         `json:"leaving_ms"`  // deadline in Unix ms; 0 if the engine is not leaving
	Epoch        int64         `json:"epoch"`       // highest epoch of the planner lease in an order received
	CacheSeq     int64         `json:"cache_seq"`   // sequence number of the last cache event
	Cache        []CacheEvent  `json:"cache,omitempty"`
}

// LoadedModel is a model or adapter that is ready for requests.
type LoadedModel struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// CacheEvent reports that a prefix block was cached or evicted.
type CacheEvent struct {
	Seq     int64  `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Load is the ORCA load report of an answer. Units are those of the same fields of
// State.
type Load struct {
	Named struct {
		AtMS         float64 `json:"at_ms"`
		Running      float64 `json:"running"`
		Waiting      float64 `json:"waiting"`
		QueuedTokens float64 `json:"queued_tokens"`
		StepMS       float64 `json:"step_ms"`
	} `json:"named_metrics"`
}

// Order is a command of the planner, fenced by the epoch of the planner lease.
type Order struct {
	Epoch   int64  `json:"epoch"`
	Op      string `json:"op"` // OpLoad or OpUnload
	Name    string `json:"name"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
}

// The operations of an Order.
const (
	OpLoad   = "load"
	OpUnload = "unload"
)

// Import asks an engine to import the KV cache of a stream, that is, to fetch it from
// another engine. Package serve calls this moving the cache.
type Import struct {
	Source string `json:"source"` // address, host:port
	Stream string `json:"stream"`
}

// blockBytes is the size of a prefix block, in bytes of prompt text.
const blockBytes = 256

// Blocks returns the chained hashes of the complete blocks of a prompt. Two
// prompts share a prefix of n blocks if their first n hashes are equal.
func Blocks(text string) []uint64 {
	out := make([]uint64, 0, len(text)/blockBytes)
	d := xxhash.New()
	for len(text) >= blockBytes {
		_, _ = d.WriteString(text[:blockBytes])
		out = append(out, d.Sum64())
		text = text[blockBytes:]
	}
	return out
}
