// Command mallowbridge is the daemon, the operators' command line and the rehearsal tools in one program.
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

// command runs one command of the line; an error ends the program with status 1.
type command func(in io.Reader, out io.Writer) error

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

func run(args []string, in io.Reader, out, errs io.Writer) int {
	app := kingpin.New("mallowbridge", "A router fleet for a language model: one daemon per machine, and the tools around it.")
	app.Version(fmt.Sprintf("mallowbridge %s, build %d", version, transport.Build))
	app.HelpFlag.Short('h')
	app.UsageWriter(out)
	app.ErrorWriter(errs)
	cmds := map[string]command{}
	daemons(app, cmds)
	nodes(app, cmds)
	operators(app, cmds)
	standIns(app, cmds)
	streams(app, cmds)
	quotas(app, cmds)
	soak(app, cmds)
	tools(app, cmds)
	whatIf(app, cmds)
	recovery(app, cmds)
	measureCapacity(app, cmds)
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "mallowbridge:", err)
		return 2
	}
	if err = cmds[name](in, out); err != nil {
		complain(errs, err)
		return 1
	}
	return 0
}

// complain prints each violation of a document on a line of its own.
func complain(errs io.Writer, err error) {
	var bad *config.InvalidError
	if errors.As(err, &bad) {
		for _, f := range bad.Violations {
			fmt.Fprintln(errs, "mallowbridge:", f)
		}
		return
	}
	fmt.Fprintln(errs, "mallowbridge:", trace.Unwrap(err))
}
