package serve

// Error codes returned to callers; docs/OPERATING.md describes each.
const (
	codeNodeFull        = "node_full"
	codeKeyReused       = "key_reused"
	codeKeyExpired      = "key_expired"
	codeRateLimited     = "rate_limited"
	codeNoKeepers       = "keepers_unavailable"
	codeRecordsLost     = "records_lost"
	codeCoordinatorLost = "coordinator_lost"
	codeNodeStopped     = "node_stopped"
	codeYielded         = "yielded"
	codeCancelled       = "cancelled"
	codeDeadline        = "deadline"
	codeNoUpstream      = "no_upstream"
	codeOverload        = "overload"
	codeUpstreamLost    = "upstream_lost"
	codeUpstreamStalled = "upstream_stalled"
	codeInvalidRequest  = "invalid_request"
	codeRetryBudget     = "retry_budget"
	codeAnswerTooLarge  = "answer_too_large"
)

// statusClientClosedRequest is the non-standard status for a request cancelled by its caller.
const statusClientClosedRequest = 499
