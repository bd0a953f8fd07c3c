// Package openai declares the parts of the published OpenAI HTTP API that the
// system reads and writes. Fields it does not know pass through untouched.
package openai

import "encoding/json"

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// StreamOptions asks for usage at the end of a stream.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails tells how much of the prompt came from a prefix cache.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Choice is one alternative; a stream fills Delta or Text, a whole answer
// Message or Text.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is what a chunk adds to a chat message.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Answer is a whole answer or one chunk of a stream.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ErrorBody is the shape of every error.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error says what went wrong.
type Error struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// ModelList answers GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one row of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// Request is a chat or text completion: the fields the system acts on, and
// all fields as they came.
type Request struct {
	Chat         bool
	Model        string
	Prompt       string
	Messages     []Message
	Stream       bool
	IncludeUsage bool
	MaxTokens    int
	Temperature  *float64
	Fields       map[string]json.RawMessage
}

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

// Object names.
const (
	ObjectChat      = "chat.completion"
	ObjectChatChunk = "chat.completion.chunk"
	ObjectText      = "text_completion"
)
