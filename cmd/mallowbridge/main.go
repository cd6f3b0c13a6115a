// Command mallowbridge contains the daemon, the operators' command line, and the tools for rehearsals and simulations.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/transport"
)

const version = "0.1.0"

// command runs a command with the program's standard input and output. If it returns an error, the program exits with status 1.
type command func(in io.Reader, out io.Writer) error

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run parses the arguments and runs a command. It returns the exit status: 2 for invalid arguments, 1 if the command failed.
func run(args []string, in io.Reader, out, errs io.Writer) int {
	app := kingpin.New("mallowbridge", "A fleet of routers for replicas of a language model: a daemon for each machine, and its tools.")
	app.Version(fmt.Sprintf("mallowbridge %s, build %d", version, transport.Build))
	app.HelpFlag.Short('h')
	app.UsageWriter(out)
	app.ErrorWriter(errs)
	cmds := map[string]command{}
	addDaemonCommands(app, cmds)
	addNodeCommand(app, cmds)
	addOperatorCommands(app, cmds)
	addStandInCommands(app, cmds)
	addStreamsCommand(app, cmds)
	addQuotasCommand(app, cmds)
	addSoakCommand(app, cmds)
	addDecideCommand(app, cmds)
	addWhatIfCommand(app, cmds)
	addRecoveryCommand(app, cmds)
	addCapacityCommand(app, cmds)
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "mallowbridge:", err)
		return 2
	}
	if err = cmds[name](in, out); err != nil {
		printError(errs, err)
		return 1
	}
	return 0
}

// printError prints an error, with each violation of an invalid document on a separate line.
func printError(errs io.Writer, err error) {
	var invalid *config.InvalidError
	if errors.As(err, &invalid) {
		for _, v := range invalid.Violations {
			fmt.Fprintln(errs, "mallowbridge:", v)
		}
		return
	}
	fmt.Fprintln(errs, "mallowbridge:", trace.Unwrap(err))
}
