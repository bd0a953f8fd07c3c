package process

import (
	"context"
	"time"
)

// Every calls f each interval until ctx ends. A call that takes longer than
// the interval delays the next.
func Every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}
