package test

import (
	"encoding/json"
	"io"
	"strconv"

	"github.com/tmaxmax/go-sse"
)

// readStream reads a streamed response until it ends or fails and sends the ID
// of each token to tokens, if not nil.
func (r *response) readStream(body io.Reader, tokens chan<- int) {
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			r.err = err
			return
		}
		if ev.Data == "[DONE]" {
			r.complete = true
			return
		}
		var chunk struct {
			Error   *struct{ Message, Outcome string }
			Choices []struct {
				Delta  struct{ Content string }
				Text   string
				Finish *string `json:"finish_reason"`
			}
		}
		if r.err = json.Unmarshal([]byte(ev.Data), &chunk); r.err != nil {
			return
		}
		if chunk.Error != nil {
			r.body, r.outcome = chunk.Error.Message, chunk.Error.Outcome
			return
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Finish != nil {
			continue
		}
		id, _ := strconv.Atoi(ev.LastEventID)
		r.eventIDs = append(r.eventIDs, id)
		r.tokens = append(r.tokens, chunk.Choices[0].Delta.Content+chunk.Choices[0].Text)
		if tokens != nil {
			tokens <- id
		}
	}
}
