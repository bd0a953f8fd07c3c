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

func BenchmarkWriteToken(b *testing.B) {
	b.ReportAllocs()
	e, _ := newTestWriter(true)
	for i := range b.N {
		e.token(i, " word")
		e.buf = e.buf[:0]
	}
}
