package openai

import (
	"encoding/json"
	"errors"
	"strings"

	"github.com/samber/oops"
)

// ErrBadRequest is the base of every error that is the caller's to mend.
var ErrBadRequest = errors.New("bad request")

// DefaultMaxTokens bounds an answer whose request names no bound.
const DefaultMaxTokens = 512

type known struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	Messages      []wireMessage   `json:"messages"`
	Stream        bool            `json:"stream"`
	StreamOptions *StreamOptions  `json:"stream_options"`
	MaxTokens     *int            `json:"max_tokens"`
	MaxCompletion *int            `json:"max_completion_tokens"`
	Temperature   *float64        `json:"temperature"`
	N             *int            `json:"n"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse reads a request body; chat tells which of the two forms it has.
func Parse(body []byte, chat bool) (Request, error) {
	var k known
	if err := json.Unmarshal(body, &k); err != nil {
		return Request{}, invalid("the body is not valid JSON for this call: %v", err)
	}
	req := Request{Chat: chat, Model: k.Model, Stream: k.Stream, Temperature: k.Temperature, MaxTokens: DefaultMaxTokens}
	req.IncludeUsage = k.StreamOptions != nil && k.StreamOptions.IncludeUsage
	if err := json.Unmarshal(body, &req.Fields); err != nil {
		return Request{}, invalid("the body is not a JSON object: %v", err)
	}
	for _, limit := range []*int{k.MaxTokens, k.MaxCompletion} {
		if limit != nil {
			req.MaxTokens = *limit
		}
	}
	switch {
	case k.Model == "":
		return Request{}, invalid("model is missing")
	case req.MaxTokens < 1:
		return Request{}, invalid("max_tokens must be at least 1")
	case k.N != nil && *k.N != 1:
		return Request{}, invalid("n must be 1")
	}
	return req, req.readPrompt(k)
}

func (r *Request) readPrompt(k known) error {
	if !r.Chat {
		if json.Unmarshal(k.Prompt, &r.Prompt) != nil || r.Prompt == "" {
			return invalid("prompt must be a string that is not empty")
		}
		return nil
	}
	if len(k.Messages) == 0 {
		return invalid("messages must not be empty")
	}
	for i, m := range k.Messages {
		text, ok := contentText(m.Content)
		if m.Role == "" || !ok {
			return invalid("messages[%d] needs a role and a content of text", i)
		}
		r.Messages = append(r.Messages, Message{Role: m.Role, Content: text})
	}
	return nil
}

// contentText takes a string or a list of text parts.
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

// Text is the prompt as one string, by which prefixes are compared.
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

// Body builds the request for an engine: streamed, with usage, continuing
// after the text already given, for the tokens still owed. seed makes the
// answer the same at every engine that honours it.
func (r *Request) EngineBody(given string, givenTokens, priority int, seed int64) []byte {
	out := make(map[string]any, len(r.Fields)+8)
	for name, raw := range r.Fields {
		out[name] = raw
	}
	delete(out, "max_completion_tokens")
	out["stream"] = true
	out["stream_options"] = StreamOptions{IncludeUsage: true}
	out["max_tokens"] = r.MaxTokens - givenTokens
	out["priority"] = priority
	if _, ok := out["seed"]; !ok {
		out["seed"] = seed
	}
	if given != "" && r.Chat {
		turns := append([]Message{}, r.Messages...)
		out["messages"] = append(turns, Message{Role: "assistant", Content: given})
		out["continue_final_message"] = true
		out["add_generation_prompt"] = false
	}
	if given != "" && !r.Chat {
		out["prompt"] = r.Prompt + given
	}
	raw, err := json.Marshal(out)
	if err != nil {
		panic("a request made of parsed JSON cannot be encoded: " + err.Error())
	}
	return raw
}

func invalid(format string, args ...any) error {
	return oops.Wrapf(ErrBadRequest, format, args...)
}
