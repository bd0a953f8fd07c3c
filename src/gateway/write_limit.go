package gateway

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/crankridge/crankridge/src/clock"
)

// limitWrites makes writes to the client fail soon after the request's deadline, so that a client
// that does not read holds no response for longer.
func limitWrites(w http.ResponseWriter, deadline time.Time) {
	setWriteDeadline(w, time.Now().Add(clock.Until(deadline)+writeGracePeriod))
}

// unlimitWrites ends the limit that an earlier request of the connection has set.
func unlimitWrites(w http.ResponseWriter) { setWriteDeadline(w, time.Time{}) }

func setWriteDeadline(w http.ResponseWriter, at time.Time) {
	if err := http.NewResponseController(w).SetWriteDeadline(at); err != nil {
		klog.ErrorS(err, "write_deadline_not_set")
	}
}
