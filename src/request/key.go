package request

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"
)

const (
	issuedPrefix      = "ck-"
	issuedRandomBytes = 12
	maxKeyLen         = 128 // bytes
	timestampRadix    = 36
)

// ErrBadKey is returned for an invalid request key.
var ErrBadKey = errors.New("request key must be 1 to 128 visible ASCII characters without '/'")

// IssueKey returns a new random key that contains the time now.
func IssueKey(now time.Time) string {
	var raw [issuedRandomBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("request: read random bytes: " + err.Error())
	}
	return issuedPrefix + strconv.FormatInt(now.UnixMilli(), timestampRadix) + "-" + hex.EncodeToString(raw[:])
}

// IssuedAt returns the time at which a key was issued. It returns false for a
// key that is not in the form of IssueKey.
func IssuedAt(key string) (time.Time, bool) {
	rest, ok := strings.CutPrefix(key, issuedPrefix)
	if !ok {
		return time.Time{}, false
	}
	stamp, _, ok := strings.Cut(rest, "-")
	ms, err := strconv.ParseInt(stamp, timestampRadix, 64)
	if !ok || err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// CheckKey validates a key chosen by a caller.
func CheckKey(key string) error {
	if key == "" || len(key) > maxKeyLen {
		return oops.Wrap(ErrBadKey)
	}
	for _, c := range key {
		if c <= ' ' || c > '~' || c == '/' {
			return oops.Wrap(ErrBadKey)
		}
	}
	return nil
}

// FullKey qualifies a key with its customer, so that customers cannot refer to
// each other's requests.
func FullKey(customer, key string) string { return customer + "/" + key }
