// Crank-control serves the operators' API and runs the planner while it holds the planner lease.
package main

import (
	"context"

	"github.com/crankridge/crankridge/src/control"
	"github.com/crankridge/crankridge/src/process"
	"github.com/crankridge/crankridge/src/settings"
)

func main() {
	process.Main("crank-control", "Crank-control serves the operators' API and runs the planner while it holds the planner lease.", settings.LoadControl, run)
}

func run(ctx context.Context, cfg settings.Control) error {
	p, err := control.New(cfg)
	if err != nil {
		return err
	}
	return p.Run(ctx)
}
