package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/standin/rehearsal"
)

// soakLedger is the name of the ledger in the folder of a soak.
const soakLedger = "soak.jsonl"

// soak has real node processes live through overlapping series of faults and changes.
func soak(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("soak", "Run nodes of the platform as processes under clients that keep their connections, while nodes fail in series and routes and zones change, and judge what replicas ran and clients got.")
	var o rehearsal.SoakOptions
	c.Flag("dir", "Folder for settings, disks, logs and the ledger; made where there is none.").Default(".fleet/soak").StringVar(&o.Dir)
	c.Flag("program", "Program that the nodes run; this one where none is named.").StringVar(&o.Binary)
	c.Flag("seed", "Seed of faults, changes and load.").Default("1").Uint64Var(&o.Seed)
	c.Flag("for", "How long clients ask; the last twenty seconds are for recovering.").Default("60s").DurationVar(&o.For)
	c.Flag("nodes", "Node processes, 3 to 252; the first three have a disk.").Default("9").IntVar(&o.Nodes)
	c.Flag("replicas", "Stand-in replicas.").Default("6").IntVar(&o.Replicas)
	c.Flag("clients", "Clients, each with a connection of its own.").Default("48").IntVar(&o.Clients)
	cmds["soak"] = func(_ io.Reader, out io.Writer) error { return runSoak(o, out) }
}

func runSoak(o rehearsal.SoakOptions, out io.Writer) error {
	folder, err := openFolder(o.Dir, soakLedger)
	if err != nil {
		return err
	}
	o.Dir, o.Ledger = folder.dir, folder.ledger
	if o.Binary == "" {
		o.Binary = folder.binary
	}
	r, err := rehearsal.RunSoak(o)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.Races > 0 {
		return trace.Wrap(&DataRaceError{N: r.Races, Dir: o.Dir})
	}
	return reportBreaches(out, soakCounts(r), r.Breaches)
}

func soakCounts(r rehearsal.SoakReport) string {
	return fmt.Sprintf("%d asked, %d served, %d rejected, %d unanswered, %d ran, %d of %d served after the faults; %d kills, %d stops, %d freezes, %d reloads, %d crashes; "+
		"%d revisions, read %d times, %d orders on zones, %d more held up, %d more left early; ",
		r.Asked, r.Served, r.Rejected, r.Unanswered, r.Ran, r.CalmServed, r.CalmAsked, r.Kills, r.Stops, r.Freezes, r.Reloads, r.Crashes,
		r.Revisions, r.Reads, r.ZoneOrders, r.HeldOrders, r.HastyOrders)
}
