package catalog

import (
	"encoding/hex"
	"regexp"

	"github.com/samber/oops"
)

const (
	maxValueBytes  = 256 << 10
	maxPriority    = 9
	maxListEntries = 1000
	keyHashBytes   = 32
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Validate returns an error for the first invalid field. It doesn't check
// references to other resources; a missing one makes an event degraded.
func (r Resource) Validate() error {
	if !namePattern.MatchString(r.Name) {
		return invalidField("name", "must be 1 to 63 of a-z, 0-9, '.' and '-', and begin and end with a letter or digit")
	}
	if n := r.specCount(); n != 1 {
		return invalidField("kind", "needs exactly one spec, of the kind named; found %d", n)
	}
	if len(r.Encode()) > maxValueBytes {
		return invalidField("spec", "is larger than %d bytes", maxValueBytes)
	}
	switch {
	case r.Kind == KindEvent && r.Event != nil:
		return r.Event.validate()
	case r.Kind == KindModel && r.Model != nil:
		return r.Model.validate()
	case r.Kind == KindAdapter && r.Adapter != nil:
		return r.Adapter.validate()
	case r.Kind == KindService && r.Service != nil:
		return r.Service.validate()
	case r.Kind == KindCustomer && r.Customer != nil:
		return r.Customer.validate()
	}
	return invalidField("kind", "%q does not fit the spec given", r.Kind)
}

func (r Resource) specCount() int {
	n := 0
	for _, set := range []bool{r.Event != nil, r.Model != nil, r.Adapter != nil, r.Service != nil, r.Customer != nil} {
		if set {
			n++
		}
	}
	return n
}

func (e *Event) validate() error {
	switch {
	case e.Start.IsZero():
		return invalidField("event.start", "is missing; give a time such as 2027-01-09T07:00:00Z")
	case !e.End.After(e.Start):
		return invalidField("event.end", "must be after event.start (%s)", e.Start.Format("2006-01-02T15:04:05Z07:00"))
	case len(e.Models)+len(e.Services) == 0:
		return invalidField("event.models", "is empty and so is event.services; an event needs one of them")
	case len(e.Models) > maxListEntries || len(e.Customers) > maxListEntries || len(e.Services) > maxListEntries:
		return invalidField("event", "lists more than %d of one kind", maxListEntries)
	case e.Priority < 0 || e.Priority > maxPriority:
		return invalidField("event.priority", "must be 0 to %d", maxPriority)
	case e.CostWeight < 0 || e.CostWeight > 1:
		return invalidField("event.cost_weight", "must be 0 to 1")
	}
	for i, m := range e.Models {
		if m.Name == "" || m.Servers < 1 {
			return invalidField("event.models", "entry %d needs a name and servers of at least 1", i)
		}
	}
	for i, c := range e.Customers {
		if c.Name == "" || c.FirstTokenMS < 1 || c.Share < 0 {
			return invalidField("event.customers", "entry %d needs a name, first_token_ms of at least 1 and a share not below 0", i)
		}
	}
	return nil
}

func (m *Model) validate() error {
	switch {
	case m.Bytes <= 0:
		return invalidField("model.bytes", "must be above 0")
	case m.Version == "":
		return invalidField("model.version", "is missing")
	case m.Servers < 0:
		return invalidField("model.servers", "must not be below 0")
	}
	return nil
}

func (a *Adapter) validate() error {
	switch {
	case a.Model == "":
		return invalidField("adapter.model", "is missing")
	case a.Bytes <= 0:
		return invalidField("adapter.bytes", "must be above 0")
	case a.Version == "":
		return invalidField("adapter.version", "is missing")
	}
	return nil
}

func (s *Service) validate() error {
	if s.TimeoutMS < 0 {
		return invalidField("service.timeout_ms", "must not be below 0")
	}
	return nil
}

func (c *Customer) validate() error {
	raw, err := hex.DecodeString(c.KeySHA256)
	switch {
	case err != nil || len(raw) != keyHashBytes:
		return invalidField("customer.key_sha256", "must be the SHA-256 of the bearer key, as 64 hexadecimal digits")
	case c.Weight < 1:
		return invalidField("customer.weight", "must be at least 1")
	case c.RequestsPS < 0:
		return invalidField("customer.requests_per_second", "must not be below 0; leave it out for no limit")
	case c.Priority < 0 || c.Priority > maxPriority:
		return invalidField("customer.priority", "must be 0 to %d", maxPriority)
	}
	return nil
}

func invalidField(field, format string, args ...any) error {
	return oops.With("field", field).Wrapf(ErrInvalid, field+" "+format, args...)
}
