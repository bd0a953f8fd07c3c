package ports

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Issue 19: a watch was not restarted after its connection stalled.
func TestWatchRestartsWhenIdle(t *testing.T) {
	is := is.New(t)
	var watches atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		revision := 4 + watches.Add(1)
		_, _ = fmt.Fprintf(w, `{"result":{"header":{"revision":"%d"}}}`, revision)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done() // sends nothing more on this connection
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*watchIdleTimeout)
	defer cancel()
	var seen []int64
	err := NewKV(server.URL, time.Second, nil).Watch(ctx, "a/", 5, func(b Batch) {
		if seen = append(seen, b.Revision); len(seen) == 2 {
			cancel()
		}
	})
	is.True(err != nil)
	is.Equal(seen, []int64{5, 6})
}
