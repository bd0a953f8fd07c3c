package operator

import (
	"crypto/subtle"
	"net/http"
)

// RequireToken rejects requests without the operator token, except /healthz.
func RequireToken(token string, next http.Handler) http.Handler {
	expected := []byte("Bearer " + token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" && subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), expected) != 1 {
			http.Error(w, "wrong operator token; give it by --token or CRANKRIDGE_TOKEN", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
