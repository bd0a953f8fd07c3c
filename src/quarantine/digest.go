// Package quarantine finds requests that crash the servers which run them, and
// keeps them from being sent again. A request is recognized over all its attempts
// and at all nodes by its digest, and so are the parts that its prompt shares with
// other requests. Each is suspected of each crash of a server that had the request in
// progress, and quarantined once it alone explains several crashes. What completes is
// cleared.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"hash"
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
	h := sha256.New()
	for _, text := range []string{customer, method, strings.ToLower(host), uri} {
		writeField(h, text)
	}
	_, _ = h.Write(body)
	return newDigest(customer, h)
}

// writeField hashes a text preceded by its length, so that no two lists of texts look alike.
func writeField(h hash.Hash, text string) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
	_, _ = h.Write([]byte(text))
}

// newDigest returns the digest of a customer's content.
func newDigest(customer string, h hash.Hash) Digest {
	owner := sha256.Sum256([]byte(customer))
	var d Digest
	copy(d[:customerBytes], owner[:])
	copy(d[customerBytes:], h.Sum(nil))
	return d
}

// partMark begins what is hashed of a part, which no request does: the length of a customer's
// name is less.
const partMark = 0xff

// NewPartDigest returns the digest of a part of prompts that a customer sends to a service.
// Another customer's part of the same ID has another digest, so that nobody can have the parts
// of others refused.
func NewPartDigest(customer, service, part string) Digest {
	h := sha256.New()
	_, _ = h.Write([]byte{partMark})
	for _, text := range []string{customer, service, part} {
		writeField(h, text)
	}
	return newDigest(customer, h)
}

// Feature is what a request may share with others that crash servers: itself, over all its
// attempts, or a part of its prompt.
type Feature struct {
	Digest Digest
	IsPart bool
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

// tag returns a short identification of a request, which tells apart those that run at once.
func (d Digest) tag() uint32 { return binary.BigEndian.Uint32(d[customerBytes:]) }

// customer returns the part of the digest that depends on the customer only.
func (d Digest) customer() [customerBytes]byte { return [customerBytes]byte(d[:customerBytes]) }
