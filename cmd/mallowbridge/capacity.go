package main

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mallowbridge/mallowbridge/capacity"
)

func measureCapacity(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("capacity", "Run fleets of several sizes in one process and fit lines through their state, messages, bytes and CPU time.").Alias("slopes")
	dir := c.Flag("out", "Directory for points and fits (CSV) and plots (SVG).").Default("docs/capacity").String()
	sizes := c.Flag("nodes", "Sizes of the sweep called fleet.").Default("16", "24", "48", "96", "185", "370").Float64List()
	names := c.Flag("sweep", "Sweep, instead of all: fleet, nodes, replicas, requests, changes, config, distance, prefixes, sessions, tenants, evicting, remembered.").Strings()
	cores := c.Flag("cores", "Cores to be used at once.").Default("3").Int()
	reload := c.Flag("again", "Run nothing; fit and draw the points that are in the directory.").Bool()
	cmds["capacity"] = func(_ io.Reader, out io.Writer) error {
		runtime.GOMAXPROCS(*cores)
		some, err := capacity.SelectSweeps(capacity.Sweeps(*sizes), *names)
		if err != nil {
			return err
		}
		if *reload {
			return redraw(*dir, some)
		}
		fmt.Fprintf(out, "a connection's coders hold %d bytes; its first frames cost %d bytes more than later ones\n", capacity.ConnBytes(), capacity.FirstFrameOverhead())
		for _, s := range some {
			if err = sweep(out, *dir, s); err != nil {
				return err
			}
		}
		return nil
	}
}

func sweep(out io.Writer, dir string, s capacity.Sweep) error {
	fmt.Fprintf(out, "%s: %s\n", s.Name, s.Axis)
	from := time.Now()
	return s.Run(func(x float64, note string, ps []capacity.Point) error {
		fmt.Fprintf(out, "  %g: %s (%s)\n", x, note, time.Since(from).Round(time.Second))
		from = time.Now()
		return capacity.Save(dir, s, ps)
	})
}

func redraw(dir string, some []capacity.Sweep) error {
	for _, s := range some {
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
