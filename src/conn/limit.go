package conn

import "net/http"

// LimitingTransport bounds the bodies of responses. Reading beyond MaxBytes fails and closes the
// connection.
type LimitingTransport struct {
	http.RoundTripper
	MaxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *LimitingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, t.MaxBytes)
	return resp, nil
}
