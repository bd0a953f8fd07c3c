package process

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx is done. Calls do not overlap: one
// that takes longer than the interval delays the next.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
