// Package retryafter parses the Retry-After header of HTTP responses.
package retryafter

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Max bounds the times that Parse returns.
const Max = time.Hour

// ErrInvalid is the error for a value that is neither a number of seconds nor a date.
var ErrInvalid = errors.New("Retry-After is neither a number of seconds of at least 0 nor a date")

// FromResponse returns the time for which a server asks its caller to send it nothing at
// all, 0 if it doesn't: Parse of a 503, or of a 429 to a request that the server declined
// without running it. Any other 429 is the answer to one client.
func FromResponse(resp *http.Response, declined bool, now time.Time) (wait time.Duration, err error) {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable
	if !unavailable && !(resp.StatusCode == http.StatusTooManyRequests && declined) {
		return 0, nil
	}
	return Parse(resp.Header, now)
}

// Parse returns the time that a response with the given header asks its receiver to wait, at
// most Max and 0 if it names none. Unlike RFC 9110, section 10.2.3, it accepts fractions of a
// second. A date counts from the response's Date, or from now if it has none. If the header is
// repeated, the longest time counts. The error is ErrInvalid if a value is unusable; the
// others count nevertheless.
func Parse(header http.Header, now time.Time) (wait time.Duration, err error) {
	if date, dateErr := http.ParseTime(header.Get("Date")); dateErr == nil {
		now = date
	}
	for _, text := range header.Values("Retry-After") {
		value, ok := parseValue(strings.TrimSpace(text), now)
		if !ok {
			err = ErrInvalid
			continue
		}
		wait = max(wait, value)
	}
	return wait, err
}

func parseValue(text string, now time.Time) (wait time.Duration, ok bool) {
	if date, err := http.ParseTime(text); err == nil {
		return min(max(date.Sub(now), 0), Max), true
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	return time.Duration(min(seconds, Max.Seconds()) * float64(time.Second)), true
}
