// Package ctl implements crankctl, the command line tool for operators. It also
// sends single requests and generates load as a caller.
package ctl

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes. Code 2, which has no constant, is for wrong usage.
const (
	exitFailed         = 1 // the command failed
	exitConflict       = 3 // the resource was changed concurrently
	exitUnavailable    = 4 // nothing was changed because a service is unavailable
	exitOutcomeUnknown = 5 // the change or request may or may not have taken effect; safe to repeat, a request only with the same --request-key
	exitNotRolledOut   = 6 // the change was accepted but did not reach all nodes in time
)

// exitError is an error with the exit code to return for it.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }

func exitErrorf(code int, format string, args ...any) error {
	return exitError{code, fmt.Errorf(format, args...)}
}

type globals struct {
	Control []string `help:"Addresses of crank-control, tried in order." default:"127.0.0.1:7103" env:"CRANKRIDGE_CONTROL" sep:","`
	Token   string   `help:"Operator token." env:"CRANKRIDGE_TOKEN"`
	Entry   []string `help:"Addresses of crank-entry for callers, tried in order." default:"127.0.0.1:7101" env:"CRANKRIDGE_ENTRY" sep:","`
	Key     string   `help:"Bearer key of a customer." env:"CRANKRIDGE_KEY"`
}

type commands struct {
	globals
	Apply      applyCmd      `cmd:"" help:"Create or change resources from a YAML file of one or more documents."`
	Get        getCmd        `cmd:"" help:"Show resources: crankctl get events, crankctl get model climb -o yaml."`
	Edit       editCmd       `cmd:"" help:"Print a resource as YAML, to be edited and applied: crankctl edit event saturday > e.yaml."`
	Delete     deleteCmd     `cmd:"" help:"Delete a resource."`
	Watch      watchCmd      `cmd:"" help:"Watch changes, from a given version on."`
	Status     statusCmd     `cmd:"" help:"Show events, nodes and upstreams."`
	Explain    explainCmd    `cmd:"" help:"Show the decisions about an event, request or upstream, with times and reasons."`
	Dump       dumpCmd       `cmd:"" help:"Print the state of processes as JSON."`
	Endpoints  endpointsCmd  `cmd:"" help:"Show which addresses a caller should use."`
	Send       sendCmd       `cmd:"" help:"Send a chat request or a service call as a caller would."`
	Load       loadCmd       `cmd:"" help:"Generate load and report latency and throughput."`
	Completion completionCmd `cmd:"" help:"Print a bash completion script: source <(crankctl completion)."`
}

const description = `Operates crankridge and sends requests to it.

To get started with the demo (make demo KEEP=1):
  crankctl --token demo-operator status
  crankctl --token demo-operator get events -o yaml
  crankctl --key demo-ride-key send --model climb "Describe the climb."

Exit codes: 1 failed, 2 wrong usage, 3 changed concurrently, 4 nothing was changed
because a service is unavailable, 5 outcome unknown, 6 accepted but not yet in
force on all nodes.`

// Main runs crankctl with the arguments of the process.
func Main() {
	var c commands
	k := kong.Must(&c, kong.Name("crankctl"), kong.Description(description), kong.UsageOnError())
	ctx, err := k.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "crankctl:", err)
		os.Exit(2) // wrong usage
	}
	err = ctx.Run(&c.globals, k)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "crankctl:", err)
	var e exitError
	if errors.As(err, &e) {
		os.Exit(e.code)
	}
	os.Exit(exitFailed)
}
