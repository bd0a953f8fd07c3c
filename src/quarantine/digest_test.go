package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestDigestDependsOnAllPartsOfRequest(t *testing.T) {
	is := is.New(t)
	d := NewDigest("one", "POST", "Site.example", "/a?x=1", []byte("body"))
	is.Equal(d, NewDigest("one", "POST", "site.example", "/a?x=1", []byte("body")))
	others := []Digest{
		NewDigest("two", "POST", "site.example", "/a?x=1", []byte("body")),
		NewDigest("one", "GET", "site.example", "/a?x=1", []byte("body")),
		NewDigest("one", "POST", "other.example", "/a?x=1", []byte("body")),
		NewDigest("one", "POST", "site.example", "/a?x=2", []byte("body")),
		NewDigest("one", "POST", "site.example", "/a?x=1", []byte("other")),
		NewDigest("one", "POST", "site.example", "/a?x=1b", []byte("ody")),
	}
	for _, other := range others {
		is.True(d != other)
	}
	is.True(d.customer() != others[0].customer())
	is.Equal(d.customer(), others[1].customer())
}

func TestDigestText(t *testing.T) {
	is := is.New(t)
	d := NewDigest("one", "GET", "site.example", "/", nil)
	parsed, err := ParseDigest(d.String())
	is.NoErr(err)
	is.Equal(parsed, d)
	for _, bad := range []string{"", "zz", d.String() + "00", d.String()[2:]} {
		_, err := ParseDigest(bad)
		is.Equal(err, ErrBadDigest)
	}
}
