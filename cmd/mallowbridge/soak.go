package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/standin/rehearsal"
)

// soakLedgerFile is the name of the ledger in the directory of a soak test.
const soakLedgerFile = "soak.jsonl"

// addSoakCommand adds the command that runs real node processes through overlapping series of faults and changes.
func addSoakCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("soak", "Run nodes of the platform as processes with clients that keep their connections, while nodes fail in series and routes and zones change, and check what the replicas ran and the clients got.")
	var o rehearsal.SoakOptions
	c.Flag("dir", "Directory for settings, disks, logs and the ledger; created if it does not exist.").Default(".fleet/soak").StringVar(&o.Dir)
	c.Flag("program", "Program that the nodes run; by default this one.").StringVar(&o.Binary)
	c.Flag("seed", "Seed of faults, changes and load.").Default("1").Uint64Var(&o.Seed)
	c.Flag("for", "How long clients send requests; the last 20 seconds are without faults, for recovery.").Default("60s").DurationVar(&o.Duration)
	c.Flag("nodes", "Number of node processes, 3 to 252; the first three have a disk.").Default("9").IntVar(&o.Nodes)
	c.Flag("replicas", "Number of stand-in replicas.").Default("6").IntVar(&o.Replicas)
	c.Flag("clients", "Number of clients, each with its own connection.").Default("48").IntVar(&o.Clients)
	cmds["soak"] = func(_ io.Reader, out io.Writer) error { return runSoak(o, out) }
}

// runSoak runs the soak test and reports its result.
func runSoak(o rehearsal.SoakOptions, out io.Writer) error {
	folder, err := openRehearsalFolder(o.Dir, soakLedgerFile)
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
	if r.DataRaces > 0 {
		return trace.Wrap(&DataRaceError{N: r.DataRaces, Dir: o.Dir})
	}
	return printBreaches(out, soakCounts(r), r.Breaches)
}

// soakCounts returns the counts of a soak test as text.
func soakCounts(r rehearsal.SoakReport) string {
	return fmt.Sprintf("%d asked, %d served, %d rejected, %d unanswered, %d ran, %d of %d served after the faults; %d kills, %d stops, %d freezes, %d reloads, %d lost disks, %d crashes; "+
		"%d revisions, read %d times, %d orders on zones, %d more held up, %d more left early; ",
		r.Requests, r.Served, r.Rejected, r.Failed, r.Runs, r.ServedAfterFaults, r.RequestsAfterFaults, r.Kills, r.Stops, r.Freezes, r.Reloads, r.LostDisks, r.Crashes,
		r.Revisions, r.Reads, r.ZoneRequests, r.DelayedRequests, r.AbandonedRequests)
}
