// Package settings reads the settings file of each binary: one YAML file,
// checked strictly. docs/SETTINGS.md documents every field.
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

// ErrInvalid is the base of every error in a settings file.
var ErrInvalid = errors.New("invalid settings")

// checked is what every binary's settings can do.
type checked interface{ check() error }

// load decodes path over the defaults in into. Unknown fields, duplicate keys
// and values of the wrong type are errors that name file, line and column.
func load(path string, into checked) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return oops.Wrapf(errors.Join(ErrInvalid, err), "read settings")
	}
	dec := yaml.NewDecoder(bytes.NewReader(raw), yaml.Strict(), yaml.CustomUnmarshaler(readDuration))
	err = dec.Decode(into)
	var wrong wrongDuration
	if errors.As(err, &wrong) {
		return oops.Wrapf(ErrInvalid, "%s: %s", path, wrong.at(string(raw)))
	}
	if err != nil {
		return oops.Wrapf(ErrInvalid, "%s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := into.check(); err != nil {
		return oops.Wrapf(err, "%s", path)
	}
	return nil
}

// wrongDuration is a text that is no duration. The library does not say where
// it stands, so it is looked for in the file.
type wrongDuration struct{ text string }

func (w wrongDuration) Error() string { return "wrong duration " + w.text }

func (w wrongDuration) at(file string) string {
	for i, line := range strings.Split(file, "\n") {
		if col := strings.Index(line, w.text); col >= 0 {
			return fmt.Sprintf("[%d:%d] %q is not a duration; give a number with its unit, such as 500ms, 30s or 5m\n>  %d | %s\n", i+1, col+1, w.text, i+1, line)
		}
	}
	return w.Error()
}

func readDuration(d *time.Duration, raw []byte) (err error) {
	text := strings.Trim(string(raw), " \n\"'")
	if *d, err = time.ParseDuration(text); err != nil {
		return wrongDuration{text}
	}
	return nil
}

// problems gathers what is wrong, so that one run of --check shows all of it.
type problems struct{ list []error }

func (p *problems) add(field, format string, args ...any) {
	p.list = append(p.list, fmt.Errorf("%s %s", field, fmt.Sprintf(format, args...)))
}

func (p *problems) needText(field, value string) {
	if value == "" {
		p.add(field, "is missing")
	}
}

func (p *problems) needAddr(field, value string) {
	if _, _, err := net.SplitHostPort(value); err != nil {
		p.add(field, "must be host:port, such as 10.0.0.1:7000; got %q", value)
	}
}

func (p *problems) needURL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		p.add(field, "must be a URL such as http://10.0.0.1:2379; got %q", value)
	}
}

func (p *problems) needTime(field string, value, least, most time.Duration) {
	if value < least || value > most {
		p.add(field, "must be from %s to %s; got %s", least, most, value)
	}
}

func (p *problems) needRange(field string, value, least, most int) {
	if value < least || value > most {
		p.add(field, "must be from %d to %d; got %d", least, most, value)
	}
}

func (p *problems) err() error {
	if len(p.list) == 0 {
		return nil
	}
	return oops.Wrap(errors.Join(append([]error{ErrInvalid}, p.list...)...))
}
