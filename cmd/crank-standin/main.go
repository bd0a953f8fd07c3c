// Crank-standin runs simplified fakes of external services, for tests and the demo only.
package main

import (
	"github.com/crankridge/crankridge/src/process"
	"github.com/crankridge/crankridge/src/settings"
	"github.com/crankridge/crankridge/src/standin"
)

func main() {
	process.Main("crank-standin", "Crank-standin runs simplified fakes of external services, for tests and the demo only.", settings.LoadStandin, standin.Run)
}
