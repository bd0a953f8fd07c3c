package caller

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/openai"
	"github.com/crankridge/crankridge/src/request"
)

func newTestWriter(chat bool) (*eventWriter, *httptest.ResponseRecorder) {
	rec := httptest.NewRecorder()
	f := request.NewFlight("c/k", nil, "a", true, time.Unix(100, 0), func() {})
	return newEventWriter(rec, time.Second, f, &openai.Request{Chat: chat, Model: "m", IncludeUsage: true}), rec
}

func TestEventsMatchOpenAIFormat(t *testing.T) {
	is := is.New(t)
	e, rec := newTestWriter(true)
	e.token(1, "a \"quoted\"\n")
	e.token(2, " b")
	e.end(2, request.Answer{Outcome: request.Completed, Finish: "length", Prompt: 3})
	is.True(e.flush())
	got := rec.Body.String()
	for _, want := range []string{
		"id: 1\ndata: {\"id\":\"cmpl-k\",\"object\":\"chat.completion.chunk\",\"created\":100,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"a \\\"quoted\\\"\\n\"},\"finish_reason\":null}]}\n\n",
		"id: 2\n", `"delta":{"content":" b"}`, "id: 3\n", `"finish_reason":"length"`, `"total_tokens":5`, "data: [DONE]\n\n",
	} {
		is.True(strings.Contains(got, want))
	}
}

func TestStreamErrorIncludesOutcome(t *testing.T) {
	is := is.New(t)
	e, rec := newTestWriter(false)
	e.token(1, "x")
	e.end(1, request.Indeterminate("upstream_lost", "lost", time.Second))
	is.True(e.flush())
	is.True(strings.Contains(rec.Body.String(), `"outcome":"may-have-run","retry_after_ms":1000`))
	is.True(!strings.Contains(rec.Body.String(), openai.Done))
}

// Guards against event IDs that don't number the tokens, after a Last-Event-ID that is
// negative or beyond the end.
func TestStreamResumesAtValidEventOnly(t *testing.T) {
	is := is.New(t)
	f := request.NewFlight("c/k", nil, "a", true, time.Unix(100, 0), func() {})
	f.Append("x")
	f.Append("y")
	f.Finish(request.Answer{Outcome: request.Completed, Finish: "stop"})
	stream := func(after int) string {
		rec := httptest.NewRecorder()
		s := &Server{}
		s.config.Limits.WriteStall = time.Second
		s.streamEvents(rec, httptest.NewRequest("POST", "/v1/completions", nil), f, &openai.Request{Model: "m", IncludeUsage: true}, after)
		return rec.Body.String()
	}
	is.Equal(stream(-5), stream(0))
	is.True(strings.Contains(stream(-5), "id: 1\n"))
	is.True(strings.Contains(stream(1), "id: 2\n") && !strings.Contains(stream(1), "id: 1\n"))
	for _, after := range []int{2, 3, 1000} {
		got := stream(after)
		is.True(strings.Contains(got, "id: 3\n")) // the end of the stream
		is.True(strings.Contains(got, `"completion_tokens":2`))
	}
}

func BenchmarkWriteToken(b *testing.B) {
	b.ReportAllocs()
	e, _ := newTestWriter(true)
	for i := range b.N {
		e.token(i, " word")
		e.buf = e.buf[:0]
	}
}
