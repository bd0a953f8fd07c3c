// Crank-gateway serves callers of operators' routes on the users' platform.
package main

import (
	"context"

	"github.com/crankridge/crankridge/platform"
	"github.com/crankridge/crankridge/src/gateway"
	"github.com/crankridge/crankridge/src/process"
)

const description = "Crank-gateway serves callers of operators' routes on the users' platform."

func main() {
	process.Main("crank-gateway", description, platform.Load, run)
}

func run(ctx context.Context, set gateway.Settings) error {
	node, err := gateway.New(set, platform.New(set))
	if err != nil {
		return err
	}
	go process.Reload(ctx, set.File, platform.Load, node.Reload)
	return node.Run(ctx)
}
