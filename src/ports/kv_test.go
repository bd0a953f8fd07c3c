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

// Issue 19, the same class: a watch whose connection fell silent was never begun anew.
func TestWatchThatFallsSilentIsBegunAnew(t *testing.T) {
	is := is.New(t)
	var watches atomic.Int64
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		revision := 4 + watches.Add(1)
		_, _ = fmt.Fprintf(w, `{"result":{"header":{"revision":"%d"}}}`, revision)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done() // nothing more comes on this connection
	}))
	defer service.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 2*watchQuiet)
	defer cancel()
	var seen []int64
	err := NewKV(service.URL, time.Second, nil).Watch(ctx, "a/", 5, func(b Batch) {
		if seen = append(seen, b.Revision); len(seen) == 2 {
			cancel()
		}
	})
	is.True(err != nil)
	is.Equal(seen, []int64{5, 6})
}
