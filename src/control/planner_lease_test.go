package control

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/crankridge/crankridge/src/ports"
)

// Guards against acting under an epoch whose lease another process may already hold.
func TestEpochEndsBeforeLeaseIsRevoked(t *testing.T) {
	is := is.New(t)
	l := &plannerLease{name: "a", leaseID: 7, epoch: 3, validUntil: time.Now().Add(time.Minute)}
	revoked, heldMeanwhile := false, false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		revoked = true
		_, heldMeanwhile = l.currentEpoch()
		w.WriteHeader(http.StatusOK)
	}))
	defer server.Close()
	l.kv = ports.NewKV(server.URL, time.Second, nil)
	l.release()
	is.True(revoked)
	is.True(!heldMeanwhile)
}
