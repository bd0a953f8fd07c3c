package gateway

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestParseLimit(t *testing.T) {
	is := is.New(t)
	const name = "Server-Limit"
	for text, rate := range map[string]float64{"0": 0, "0.5": 0.5, " 12 ": 12, "1e300": 1e300} {
		got, err := parseLimit(http.Header{name: {text}}, name)
		is.NoErr(err)
		is.Equal(got, namedLimit{true, rate})
	}
	got, err := parseLimit(http.Header{}, name)
	is.NoErr(err)
	is.Equal(got, namedLimit{})
	got, err = parseLimit(http.Header{name: {"7", "3"}}, name)
	is.NoErr(err)
	is.Equal(got.rate, 3.0)
	for _, bad := range []string{"", "many", "-1", "NaN", "+Inf", "1,2", "1e999"} {
		_, err := parseLimit(http.Header{name: {bad}}, name)
		is.Equal(err, errBadLimit)
	}
}
