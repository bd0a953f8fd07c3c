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
	issuedPrefix = "ck-"
	issuedRandom = 12
	maxKeyLen    = 128
	timeBase     = 36
)

// ErrBadKey says that a request key is not acceptable.
var ErrBadKey = errors.New("request key must be 1 to 128 visible ASCII characters without '/'")

// IssueKey makes a key that carries its time.
func IssueKey(now time.Time) string {
	var raw [issuedRandom]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("no randomness: " + err.Error())
	}
	return issuedPrefix + strconv.FormatInt(now.UnixMilli(), timeBase) + "-" + hex.EncodeToString(raw[:])
}

// IssuedAt tells when a key was issued; ok is false for a caller's own key.
func IssuedAt(key string) (time.Time, bool) {
	rest, ok := strings.CutPrefix(key, issuedPrefix)
	if !ok {
		return time.Time{}, false
	}
	stamp, _, ok := strings.Cut(rest, "-")
	ms, err := strconv.ParseInt(stamp, timeBase, 64)
	if !ok || err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(ms), true
}

// CheckKey tells whether a caller's key is acceptable.
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

// FullKey scopes a key to its customer, so that no customer can name another's request.
func FullKey(customer, key string) string { return customer + "/" + key }
