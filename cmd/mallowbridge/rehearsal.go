package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/standin"
	"github.com/mallowbridge/mallowbridge/standin/rehearsal"
)

// rehearsalFlags describes the flags that all rehearsals have, where they differ: default values, and the help for two flags.
type rehearsalFlags struct {
	dir, nodes, clients         string
	durationHelp, nodeRangeHelp string
}

// addTo adds the flags to a command.
func (f rehearsalFlags) addTo(c *kingpin.CmdClause, o *rehearsal.Options) {
	c.Flag("dir", "Directory for settings, disks, logs and the ledger; created if it does not exist.").Default(f.dir).StringVar(&o.Dir)
	c.Flag("program", "Program that the nodes run; by default this one.").StringVar(&o.Binary)
	c.Flag("seed", "Seed of faults, changes and load.").Default("1").Uint64Var(&o.Seed)
	c.Flag("for", f.durationHelp).Default("60s").DurationVar(&o.Duration)
	c.Flag("nodes", "Number of node processes, "+f.nodeRangeHelp+"; the first three have a disk.").Default(f.nodes).IntVar(&o.Nodes)
	c.Flag("replicas", "Number of stand-in replicas.").Default("6").IntVar(&o.Replicas)
	c.Flag("clients", "Number of clients, each with its own connection.").Default(f.clients).IntVar(&o.Clients)
}

// UsedFolderError is the error if a directory contains the files of an earlier rehearsal, whose disks have the state of another fleet.
type UsedFolderError struct{ Ledger string }

func (e *UsedFolderError) Error() string {
	return e.Ledger + " already exists from an earlier run; use another directory"
}

// prepareRehearsal creates the directory if it does not exist, opens a new ledger in it, and sets the program that the nodes run if none was named.
func prepareRehearsal(o *rehearsal.Options, ledgerFile string) error {
	var err error
	if o.Dir, err = filepath.Abs(o.Dir); err != nil {
		return trace.Wrap(err)
	}
	if err = os.MkdirAll(o.Dir, 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	path := filepath.Join(o.Dir, ledgerFile)
	if _, err = os.Stat(path); err == nil {
		return trace.Wrap(&UsedFolderError{Ledger: path})
	}
	if o.Binary == "" {
		if o.Binary, err = os.Executable(); err != nil {
			return trace.Wrap(err)
		}
	}
	o.Ledger, err = standin.OpenLedger(path)
	return err
}

// DataRaceError is the error if the race detector found data races in a node. The logs are in Dir.
type DataRaceError struct {
	N   int
	Dir string
}

func (e *DataRaceError) Error() string {
	return fmt.Sprintf("%d data races, see the logs in %s", e.N, e.Dir)
}

// rehearsalResult is what a rehearsal found: its counts as text, breaches, and the number of data races in the nodes' logs.
type rehearsalResult struct {
	counts    string
	breaches  []ledger.Breach
	dataRaces int
}

// report prints the breaches and then the counts. It returns a *DataRaceError if there is a data race, and a *BreachError if there is a breach.
func (r rehearsalResult) report(out io.Writer, dir string) error {
	if r.dataRaces > 0 {
		return trace.Wrap(&DataRaceError{N: r.dataRaces, Dir: dir})
	}
	return printBreaches(out, r.counts, r.breaches)
}
