// Package openai declares the types of the OpenAI HTTP API that crankridge reads
// and writes. Unknown request fields are passed through to the engine unchanged.
package openai

import "encoding/json"

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// StreamOptions holds the stream_options of a request.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails breaks down the prompt tokens of a request.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Choice is one completion alternative. Stream chunks set Delta or Text,
// non-streaming responses Message or Text.
type Choice struct {
	Index        int      `json:"index"`
	Delta        *Delta   `json:"delta,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Delta is the part of a chat message that a stream chunk carries.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Answer is a non-streaming response or one chunk of a stream.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}

// Error describes a failed request.
type Error struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one entry of a ModelList.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// Request is a chat or text completion request. Fields holds all fields of the
// body as received; the others are decoded from it.
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

// Done is the data of the last event of a stream.
const Done = "[DONE]"

// Values of the object field.
const (
	ObjectChat      = "chat.completion"
	ObjectChatChunk = "chat.completion.chunk"
	ObjectText      = "text_completion"
)
