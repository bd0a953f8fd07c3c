package conn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// What the head of a response may be (RFC 9112, sections 4 to 6). net/http accepts more.
const (
	minStatus   = 100
	maxStatus   = 599
	statusChars = 3
)

var (
	errStatus    = errors.New("status is not of three digits, 100 to 599")
	errUpgrade   = errors.New("protocol switched without a request")
	errVersion   = errors.New("version is not HTTP/1.0 or HTTP/1.1")
	errLine      = errors.New("status line has other parts")
	errFieldName = errors.New("field name is no token")
	errField     = errors.New("field value has control characters")
	errFraming   = errors.New("framing is ambiguous")
	errInterims  = errors.New("interim responses are too large")
)

// checkHead returns an error if the head of a response is malformed, as far as net/http shows it.
func checkHead(resp *http.Response) error {
	digits, reason, _ := strings.Cut(resp.Status, " ")
	switch {
	case len(digits) != statusChars || strings.Trim(digits, "0123456789") != "":
		return fmt.Errorf("%w: %q", errStatus, resp.Status)
	case resp.StatusCode < minStatus || resp.StatusCode > maxStatus:
		return fmt.Errorf("%w: %q", errStatus, resp.Status)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return errUpgrade
	case resp.Proto != "HTTP/1.0" && resp.Proto != "HTTP/1.1":
		return fmt.Errorf("%w: %q", errVersion, resp.Proto)
	case !httpguts.ValidHeaderFieldValue(reason):
		return fmt.Errorf("%w: reason %q", errField, reason)
	}
	return checkFields(resp.Header)
}

// checkFields returns an error if a field of a head or trailer is malformed.
func checkFields(fields map[string][]string) error {
	for name, values := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: %q", errFieldName, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: %s: %q", errField, name, value)
			}
		}
	}
	return nil
}

// checkRawHead returns an error if the head of a response is malformed in a way that net/http does
// not show, as it takes fields of framing from the header: raw is what was read, interim
// responses included.
func checkRawHead(resp *http.Response, raw io.Reader) error {
	reader := textproto.NewReader(bufio.NewReader(raw))
	for {
		line, err := reader.ReadLine()
		if err != nil {
			return fmt.Errorf("read head again: %w", err)
		}
		fields, err := reader.ReadMIMEHeader()
		if err != nil {
			return fmt.Errorf("read head again: %w", err)
		}
		if isInterim(line) {
			continue
		}
		if strings.TrimRight(line, " ") != strings.TrimRight(resp.Proto+" "+resp.Status, " ") {
			return fmt.Errorf("%w: %q", errLine, line)
		}
		return checkFraming(resp, fields)
	}
}

// isInterim reports whether a status line is that of an interim response.
func isInterim(line string) bool {
	_, status, _ := strings.Cut(line, " ")
	status = strings.TrimLeft(status, " ")
	return strings.HasPrefix(status, "1") && !strings.HasPrefix(status, "101")
}

// checkFraming returns an error if the fields of a head frame its body in two ways.
func checkFraming(resp *http.Response, fields textproto.MIMEHeader) error {
	_, chunked := fields["Transfer-Encoding"]
	_, sized := fields["Content-Length"]
	if chunked && (sized || !resp.ProtoAtLeast(1, 1)) {
		return errFraming
	}
	return nil
}
