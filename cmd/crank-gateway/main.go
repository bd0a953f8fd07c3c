// Crank-gateway forwards client requests according to the routes that operators configure on the platform.
package main

import (
	"context"

	"github.com/crankridge/crankridge/platform"
	"github.com/crankridge/crankridge/src/gateway"
	"github.com/crankridge/crankridge/src/process"
)

const description = "Crank-gateway forwards client requests according to the routes that operators configure on the platform."

func main() {
	process.Main("crank-gateway", description, platform.Load, run)
}

func run(ctx context.Context, cfg gateway.Settings) error {
	process.LimitMemory(cfg.MemoryBytes)
	node, err := gateway.New(cfg, platform.New(cfg))
	if err != nil {
		return err
	}
	go process.Reload(ctx, cfg.File, platform.Load, node.Reload)
	return node.Run(ctx)
}
