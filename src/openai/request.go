package openai

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/samber/oops"
)

// ErrBadRequest is wrapped by all errors that Parse returns.
var ErrBadRequest = errors.New("bad request")

// DefaultMaxTokens is the completion limit of a request without max_tokens.
const DefaultMaxTokens = 512

type requestFields struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	Messages      []rawMessage    `json:"messages"`
	Stream        bool            `json:"stream"`
	StreamOptions *StreamOptions  `json:"stream_options"`
	MaxTokens     *int            `json:"max_tokens"`
	MaxCompletion *int            `json:"max_completion_tokens"`
	Temperature   *float64        `json:"temperature"`
	N             *int            `json:"n"`
}

type rawMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse decodes and validates the body of a chat completion or, if chat is
// false, of a text completion.
func Parse(body []byte, chat bool) (Request, error) {
	var fields requestFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return Request{}, badRequest("the body is not valid JSON for this call: %v", err)
	}
	req := Request{Chat: chat, Model: fields.Model, Stream: fields.Stream, Temperature: fields.Temperature, MaxTokens: DefaultMaxTokens}
	req.IncludeUsage = fields.StreamOptions != nil && fields.StreamOptions.IncludeUsage
	if err := json.Unmarshal(body, &req.Fields); err != nil {
		return Request{}, badRequest("the body is not a JSON object: %v", err)
	}
	for _, limit := range []*int{fields.MaxTokens, fields.MaxCompletion} {
		if limit != nil {
			req.MaxTokens = *limit
		}
	}
	switch {
	case fields.Model == "":
		return Request{}, badRequest("model is missing")
	case req.MaxTokens < 1:
		return Request{}, badRequest("max_tokens must be at least 1")
	case fields.N != nil && *fields.N != 1:
		return Request{}, badRequest("n must be 1")
	}
	return req, req.readPrompt(fields)
}

func (r *Request) readPrompt(fields requestFields) error {
	if !r.Chat {
		if json.Unmarshal(fields.Prompt, &r.Prompt) != nil || r.Prompt == "" {
			return badRequest("prompt must be a string that is not empty")
		}
		return nil
	}
	if len(fields.Messages) == 0 {
		return badRequest("messages must not be empty")
	}
	for i, m := range fields.Messages {
		text, ok := contentText(m.Content)
		if m.Role == "" || !ok {
			return badRequest("messages[%d] needs a role and a content of text", i)
		}
		r.Messages = append(r.Messages, Message{Role: m.Role, Content: text})
	}
	return nil
}

// contentText returns the text of a message's content, which is a string or a
// list of text parts.
func contentText(raw json.RawMessage) (string, bool) {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s, true
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

// PromptText returns the prompt as one string, for comparing prefixes and for
// estimating its length.
func (r *Request) PromptText() string {
	if !r.Chat {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	b.WriteString("assistant:")
	return b.String()
}

// EngineBody returns the request body to send to an engine. The engine streams
// with usage, continues after the generated text and is asked for the remaining
// tokens only. seed, used unless the request sets its own, makes the output the
// same on every engine that supports it.
func (r *Request) EngineBody(generated string, generatedTokens, priority int, seed int64) []byte {
	body := make(map[string]any, len(r.Fields)+8)
	for name, raw := range r.Fields {
		body[name] = raw
	}
	delete(body, "max_completion_tokens")
	body["stream"] = true
	body["stream_options"] = StreamOptions{IncludeUsage: true}
	body["max_tokens"] = r.MaxTokens - generatedTokens
	body["priority"] = priority
	if _, ok := body["seed"]; !ok {
		body["seed"] = seed
	}
	if generated != "" && r.Chat {
		messages := append([]Message{}, r.Messages...)
		body["messages"] = append(messages, Message{Role: "assistant", Content: generated})
		body["continue_final_message"] = true
		body["add_generation_prompt"] = false
	}
	if generated != "" && !r.Chat {
		body["prompt"] = r.Prompt + generated
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic("encode engine request: " + err.Error())
	}
	return raw
}

func badRequest(format string, args ...any) error {
	return oops.Wrapf(ErrBadRequest, format, args...)
}
