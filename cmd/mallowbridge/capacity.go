package main

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mallowbridge/mallowbridge/capacity"
)

// addCapacityCommand adds the command that measures how the cost of a fleet grows with its size.
func addCapacityCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("capacity", "Run fleets of several sizes in one process and fit lines to their state, messages, bytes and CPU time.").Alias("slopes")
	dir := c.Flag("out", "Directory for measured points and fits (CSV) and plots (SVG).").Default("docs/capacity").String()
	sizes := c.Flag("nodes", "Numbers of nodes in the sweep fleet.").Default("16", "24", "48", "96", "185", "370").Float64List()
	names := c.Flag("sweep", "Sweep to run instead of all: fleet, nodes, replicas, requests, changes, config, distance, prefixes, sessions, tenants, evicting, remembered.").Strings()
	cores := c.Flag("cores", "Maximum number of CPU cores to use at once.").Default("3").Int()
	redrawOnly := c.Flag("again", "Measure nothing: repeat the fits and plots for the points in the directory.").Bool()
	cmds["capacity"] = func(_ io.Reader, out io.Writer) error {
		runtime.GOMAXPROCS(*cores)
		sweeps, err := capacity.SelectSweeps(capacity.Sweeps(*sizes), *names)
		if err != nil {
			return err
		}
		if *redrawOnly {
			return redrawSweeps(*dir, sweeps)
		}
		fmt.Fprintf(out, "the encoder and decoder of a connection use %d bytes; its first frames are %d bytes longer than later ones\n", capacity.ConnBytes(), capacity.FirstFrameOverhead())
		for _, s := range sweeps {
			if err = runSweep(out, *dir, s); err != nil {
				return err
			}
		}
		return nil
	}
}

// runSweep measures the points of a sweep, prints its progress and saves the results.
func runSweep(out io.Writer, dir string, s capacity.Sweep) error {
	fmt.Fprintf(out, "%s: %s\n", s.Name, s.Axis)
	start := time.Now()
	return s.Run(func(x float64, note string, ps []capacity.Point) error {
		fmt.Fprintf(out, "  %g: %s (%s)\n", x, note, time.Since(start).Round(time.Second))
		start = time.Now()
		return capacity.Save(dir, s, ps)
	})
}

// redrawSweeps repeats the fits and plots for the saved points of sweeps.
func redrawSweeps(dir string, sweeps []capacity.Sweep) error {
	for _, s := range sweeps {
		ps, err := capacity.Load(dir, s)
		if err != nil {
			return err
		}
		if err = capacity.Save(dir, s, ps); err != nil {
			return err
		}
	}
	return nil
}
