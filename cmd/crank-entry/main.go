// Crank-entry serves callers: it admits, routes, streams, retries and resumes their requests.
package main

import (
	"context"

	"github.com/crankridge/crankridge/src/entry"
	"github.com/crankridge/crankridge/src/process"
	"github.com/crankridge/crankridge/src/settings"
)

func main() {
	process.Main("crank-entry", "Crank-entry serves callers: it admits, routes, streams, retries and resumes their requests.", settings.LoadEntry, run)
}

func run(ctx context.Context, cfg settings.Entry) error {
	p, err := entry.New(cfg)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
