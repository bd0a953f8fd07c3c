// Crankctl is the operators' shell command, and a caller for trying things out.
package main

import "github.com/crankridge/crankridge/src/ctl"

func main() { ctl.Main() }
