// Package settings loads and validates the YAML settings files of crank-entry,
// crank-control and crank-standin. docs/SETTINGS.md documents all fields.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/samber/oops"
)

// ErrInvalid is wrapped by all errors of this package.
var ErrInvalid = errors.New("invalid settings")

// validator is implemented by the settings of each binary.
type validator interface{ validate() error }

// load decodes path into cfg, which holds the defaults, and validates the result.
// Errors about unknown fields, duplicate keys and values of the wrong type state
// the file, line and column.
func load(path string, cfg validator) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return oops.Wrapf(errors.Join(ErrInvalid, err), "read settings")
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict(), yaml.CustomUnmarshaler(parseDuration))
	err = dec.Decode(cfg)
	var durErr durationError
	if errors.As(err, &durErr) {
		return oops.Wrapf(ErrInvalid, "%s: %s", path, durErr.locate(string(raw)))
	}
	if err != nil {
		return oops.Wrapf(ErrInvalid, "%s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := cfg.validate(); err != nil {
		return oops.Wrapf(err, "%s", path)
	}
	return nil
}

// durationError reports text that is not a duration. The YAML library does not
// pass the position to unmarshalers, so locate searches the file for the text.
type durationError struct{ text string }

func (e durationError) Error() string { return "invalid duration " + e.text }

func (e durationError) locate(file string) string {
	for i, line := range strings.Split(file, "\n") {
		if col := strings.Index(line, e.text); col >= 0 {
			return fmt.Sprintf("[%d:%d] %q is not a duration; give a number with its unit, such as 500ms, 30s or 5m\n>  %d | %s\n", i+1, col+1, e.text, i+1, line)
		}
	}
	return e.Error()
}

func parseDuration(d *time.Duration, raw []byte) (err error) {
	text := strings.Trim(string(raw), " \n\"'")
	if *d, err = time.ParseDuration(text); err != nil {
		return durationError{text}
	}
	return nil
}

// fieldErrors collects validation errors, so that one run reports all of them.
type fieldErrors struct{ errs []error }

func (e *fieldErrors) add(field, format string, args ...any) {
	e.errs = append(e.errs, fmt.Errorf("%s %s", field, fmt.Sprintf(format, args...)))
}

func (e *fieldErrors) requireText(field, value string) {
	if value == "" {
		e.add(field, "is missing")
	}
}

func (e *fieldErrors) requireAddr(field, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		e.add(field, "must be host:port, such as 10.0.0.1:7000; got %q", value)
	}
}

func (e *fieldErrors) requireURL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		e.add(field, "must be a URL such as http://10.0.0.1:2379; got %q", value)
	}
}

func (e *fieldErrors) requireDuration(field string, value, minimum, maximum time.Duration) {
	if value < minimum || value > maximum {
		e.add(field, "must be from %s to %s; got %s", minimum, maximum, value)
	}
}

func (e *fieldErrors) requireInt(field string, value, minimum, maximum int) {
	if value < minimum || value > maximum {
		e.add(field, "must be from %d to %d; got %d", minimum, maximum, value)
	}
}

func (e *fieldErrors) join() error {
	if len(e.errs) == 0 {
		return nil
	}
	return oops.Wrap(errors.Join(append([]error{ErrInvalid}, e.errs...)...))
}
