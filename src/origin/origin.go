// Package origin remembers where each resumable stream began: at which service, and at which
// version of its servers' software. What two versions write does not fit together, so a stream
// may go on only at the version that began it, whichever node its client comes back to.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"time"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // of the software of the server that sent the first event
}

// Key identifies a stream by the client attempt that brought its first event. Attempts of two
// customers, or at two paths, have different keys even if their IDs are equal.
type Key [16]byte

// NewKey returns the key of a stream. path is without the query.
func NewKey(customer, host, path, attempt string) Key {
	h := sha256.New()
	for _, part := range []string{customer, strings.ToLower(host), path, attempt} {
		// Each part is preceded by its length, so that no two lists of parts look alike.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write([]byte(part))
	}
	return Key(h.Sum(nil)[:len(Key{})])
}

// MaxAge bounds the time for which a stream is remembered after it was used last. A client that
// comes back later cannot go on.
const MaxAge = 10 * time.Minute
