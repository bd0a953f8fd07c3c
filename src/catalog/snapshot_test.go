package catalog

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a customer whose key hash is written in upper case being valid but
// never found.
func TestCustomerIsFoundByHashInAnyCase(t *testing.T) {
	is := is.New(t)
	s, _ := NewSnapshot(nil)
	for name, hash := range map[string]string{"lower": HashKey("a"), "upper": strings.ToUpper(HashKey("b"))} {
		customer := &Customer{KeySHA256: hash, Weight: 1}
		is.NoErr(customer.validate())
		s.add(Resource{Kind: KindCustomer, Name: name, Customer: customer})
	}
	for key, name := range map[string]string{"a": "lower", "b": "upper"} {
		got, ok := s.CustomerByKey(key)
		is.True(ok)
		is.Equal(got.Name, name)
	}
}
