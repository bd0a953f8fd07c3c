// Crankctl is the command-line client for operators. It can also send requests as
// a caller, for trying out a cluster.
package main

import "github.com/crankridge/crankridge/src/ctl"

func main() { ctl.Main() }
