package traffic

// Headers names the headers that the gateway reads and sets. The names are
// those of the platform, which gives them at start.
type Headers struct {
	RequestID      string // of one attempt of a client; kept as it is
	DeadlineMs     string // milliseconds left to the receiver
	LastEventID    string // id of the last event that was received
	Signature      string // a server's signature
	Customer       string
	ExpectInstance string // id of the server that is meant
	NotExecuted    string // a server says that it did not run the request
	Model          string
	Tokens         string // tokens in, most tokens out
	PromptParts    string
	Priority       string
	LengthHint     string
	FetchFrom      string
	ContinueFrom   string
	Scheme         string // of the Authorization header, with its blank
}
