package conn

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a peer whose response does not end.
func TestResponsesAreBounded(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count := 1 << 20
		if r.URL.Path == "/short" {
			count = 1
		}
		for range count {
			if _, err := io.WriteString(w, strings.Repeat("x", 1000)); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client := &http.Client{Transport: &LimitingTransport{http.DefaultTransport, 5000}}
	read := func(path string) (int, error) {
		resp, err := client.Get(server.URL + path)
		is.NoErr(err)
		defer func() { _ = resp.Body.Close() }()
		raw, err := io.ReadAll(resp.Body)
		return len(raw), err
	}
	count, err := read("/short")
	is.NoErr(err)
	is.Equal(count, 1000)
	count, err = read("/endless")
	var tooLarge *http.MaxBytesError
	is.True(errors.As(err, &tooLarge))
	is.Equal(count, 5000)
}
