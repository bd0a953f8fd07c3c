package traffic

// Headers holds the names of the headers that the gateway reads and sets. They
// are defined by the platform.
type Headers struct {
	RequestID      string // ID of a client attempt, forwarded unchanged
	DeadlineMs     string // milliseconds left for the receiver
	LastEventID    string // ID of the last event received
	Signature      string // signature of a server
	Customer       string // name of the customer, set by the gateway
	ExpectInstance string // ID of the intended server
	NotExecuted    string // set by a server that did not run the request
	Model          string
	Tokens         string // input tokens and maximum output tokens
	PromptParts    string // IDs and token counts of the parts of a prompt
	Priority       string
	LengthHint     string
	FetchFrom      string // removed from requests of clients
	ContinueFrom   string // removed from requests of clients
	Scheme         string // scheme of the Authorization header, with the space after it
}
