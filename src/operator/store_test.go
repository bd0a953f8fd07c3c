package operator

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/catalog"
	"github.com/crankridge/crankridge/src/ports"
	"github.com/crankridge/crankridge/src/standin"
	"github.com/crankridge/crankridge/src/view"
)

// Guards against a deletion that deleted nothing being reported as done.
func TestDeletionOfMissingResourceIsReported(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(standin.NewKV().Handler())
	defer server.Close()
	s := NewStore(ports.NewKV(server.URL, time.Second, nil), view.New())
	_, err := s.Delete(context.Background(), catalog.KindCustomer, "nobody", 0)
	is.True(errors.Is(err, ErrNotFound))
	_, err = s.Delete(context.Background(), catalog.KindCustomer, "nobody", 7)
	is.True(errors.Is(err, ErrConflict))
}

// Guards against retries that go on after their caller has left.
func TestRetriesEndWithTheirCaller(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	start := time.Now()
	for attempt := range maxAttempts {
		is.True(!waitBeforeRetry(ctx, attempt) || attempt == 0)
	}
	is.True(time.Since(start) < retryBackoff)
}
