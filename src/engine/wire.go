// Package engine is the port to model engines. They speak the OpenAI API with
// the extensions declared here; the load report on each answer is the
// published ORCA header.
package engine

import (
	"github.com/cespare/xxhash/v2"
)

// Headers of the engines' API.
const (
	HeaderRequestID    = "X-Request-Id"          // names the stream at the engine
	HeaderLoad         = "endpoint-load-metrics" // ORCA, JSON form
	LoadPrefix         = "JSON "
	HeaderLeaving      = "X-Leaving-Deadline-Ms" // Unix ms; present when the engine is leaving
	HeaderPulledTokens = "X-Pulled-Tokens"
)

// State is an engine's report; it lags behind the truth and tells by how much.
type State struct {
	Name         string        `json:"name"`
	AtMS         int64         `json:"at_ms"` // Unix ms of the reading
	Models       []LoadedModel `json:"models"`
	Loading      []string      `json:"loading"`
	Running      int           `json:"running"`
	Waiting      int           `json:"waiting"`
	QueuedTokens int           `json:"queued_tokens"` // prompt tokens not yet prefilled
	Slots        int           `json:"slots"`
	PrefillTPS   float64       `json:"prefill_tps"`
	StepMS       float64       `json:"step_ms"` // time between two tokens of a stream
	LeavingMS    int64         `json:"leaving_ms"`
	Epoch        int64         `json:"epoch"` // highest fencing token seen
	CacheSeq     int64         `json:"cache_seq"`
	Cache        []CacheEvent  `json:"cache,omitempty"`
}

// Loaded is a model or adapter that can be asked for.
type LoadedModel struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// CacheEvent tells of one prefix block stored or evicted.
type CacheEvent struct {
	Seq     int64  `json:"seq"`
	Block   uint64 `json:"block"`
	Evicted bool   `json:"evicted,omitempty"`
}

// Load is the ORCA report on an answer.
type Load struct {
	Named struct {
		AtMS         float64 `json:"at_ms"`
		Running      float64 `json:"running"`
		Waiting      float64 `json:"waiting"`
		QueuedTokens float64 `json:"queued_tokens"`
		StepMS       float64 `json:"step_ms"`
	} `json:"named_metrics"`
}

// Order is a fenced command of the planner.
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

// Import asks an engine to pull the KV cache of a stream from another.
type Import struct {
	Source string `json:"source"` // address, host:port
	Stream string `json:"stream"`
}

// blockBytes is the grain at which prefixes are compared.
const blockBytes = 256

// Blocks returns the chained hashes of a prompt's whole blocks: two prompts
// share a prefix of n blocks when their first n hashes are equal.
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
