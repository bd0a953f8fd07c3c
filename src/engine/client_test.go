package engine

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func streamText(tokens int, ended bool) string {
	var b strings.Builder
	for i := range tokens {
		fmt.Fprintf(&b, "id: %d\ndata: {\"id\":\"s\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\" word\"},\"finish_reason\":null}]}\n\n", i+1)
	}
	if ended {
		b.WriteString("data: [DONE]\n\n")
	}
	return b.String()
}

func TestReadStream(t *testing.T) {
	is := is.New(t)
	var got []int64
	collect := func(tok Token) error { got = append(got, tok.ID); return nil }
	is.NoErr(readStream(strings.NewReader(streamText(3, true)), collect))
	is.Equal(got, []int64{1, 2, 3})
	is.True(errors.Is(readStream(strings.NewReader(streamText(2, false)), collect), ErrBroken)) // no [DONE] event
	is.True(errors.Is(readStream(strings.NewReader("data: {\n\n"), collect), ErrBroken))
}

func BenchmarkReadToken(b *testing.B) {
	b.ReportAllocs()
	body := strings.NewReader(streamText(b.N, true))
	b.ResetTimer()
	if err := readStream(body, func(Token) error { return nil }); err != nil {
		b.Fatal(err)
	}
}
