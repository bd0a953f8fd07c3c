package serve

// Codes of the errors told to callers; docs/OPERATING.md explains each.
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
	codeStalled         = "upstream_stalled"
	codeInvalid         = "invalid_request"
	codeBudget          = "retry_budget"
	codeTooLarge        = "answer_too_large"
)

// statusCancelled is the customary status of a request its caller gave up.
const statusCancelled = 499
