// Package quarantine finds requests that crash the servers which run them, and
// keeps them from being sent again. A request is recognized over all its attempts
// and at all nodes by its digest. It is suspected of each crash of a server that
// had it in progress, and quarantined once it alone explains several crashes. A
// request that completes is cleared.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"strings"
)

// Sizes of the parts of a digest, in bytes.
const (
	customerBytes = 4
	contentBytes  = 12
)

// Digest identifies a request over all its attempts: it is equal for the same
// customer, method, host, path with query, and body. It begins with a hash of the
// customer alone, so that one customer's requests can be counted.
type Digest [customerBytes + contentBytes]byte

// NewDigest returns the digest of a request. uri is the path with the query.
func NewDigest(customer, method, host, uri string, body []byte) Digest {
	owner := sha256.Sum256([]byte(customer))
	h := sha256.New()
	for _, part := range []string{customer, method, strings.ToLower(host), uri} {
		// Each part is preceded by its length, so that no two lists of parts look alike.
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	var d Digest
	copy(d[:customerBytes], owner[:])
	copy(d[customerBytes:], h.Sum(nil))
	return d
}

// ErrBadDigest is returned for text that is not a digest.
var ErrBadDigest = errors.New("digest must be 32 hexadecimal digits")

// ParseDigest parses the result of String.
func ParseDigest(text string) (Digest, error) {
	raw, err := hex.DecodeString(text)
	if err != nil {
		return Digest{}, ErrBadDigest
	}
	return DigestFromBytes(raw)
}

// DigestFromBytes converts the bytes of a digest.
func DigestFromBytes(raw []byte) (Digest, error) {
	var d Digest
	if len(raw) != len(d) {
		return d, ErrBadDigest
	}
	copy(d[:], raw)
	return d, nil
}

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// customer returns the part of the digest that depends on the customer only.
func (d Digest) customer() [customerBytes]byte { return [customerBytes]byte(d[:customerBytes]) }
