package traffic

// Headers holds the names of the headers between clients, the gateway and
// servers, and the scheme of the Authorization header. The platform defines them.
type Headers struct {
	RequestID      string // ID of a client attempt, forwarded unchanged
	DeadlineMs     string // milliseconds left for the receiver
	LastEventID    string // ID of the last event received
	FirstAttempt   string // ID of the client attempt that brought the first event of the stream that a client takes up
	ServerStamp    string // ID of the server that responds
	Customer       string // name of the customer, set by the gateway
	ExpectInstance string // ID of the intended server
	NotExecuted    string // set by a server that did not run the request
	ServerLimit    string // requests per second that a server accepts from all nodes together; absent if it names no limit
	ServerBrittle  string // rejections in a second beyond which a server falls over; absent if it does not
	ServerLeaving  string // true if the server is about to terminate
	Model          string
	Tokens         string // input tokens and maximum output tokens
	PromptParts    string // IDs and token counts of the parts of a prompt
	Priority       string
	LengthHint     string
	FetchFrom      string // KV cache of another server to fetch; removed from requests of clients
	ContinueFrom   string // KV cache to continue from; removed from requests of clients
	Scheme         string // scheme of the Authorization header, with the space after it
}
