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
	var o rehearsal.Options
	flags := rehearsalFlags{
		dir: ".fleet/soak", nodes: "9", clients: "48", nodeRangeHelp: "3 to 252",
		durationHelp: "How long clients send requests; the last 20 seconds are without faults, for recovery.",
	}
	flags.addTo(c, &o)
	cmds["soak"] = func(_ io.Reader, out io.Writer) error { return runSoak(o, out) }
}

// runSoak runs the soak test and reports its result.
func runSoak(o rehearsal.Options, out io.Writer) error {
	if err := prepareRehearsal(&o, soakLedgerFile); err != nil {
		return err
	}
	r, err := rehearsal.RunSoak(o)
	if err != nil {
		return trace.Wrap(err)
	}
	return rehearsalResult{counts: soakCounts(r), breaches: r.Breaches, dataRaces: r.DataRaces}.report(out, o.Dir)
}

// soakCounts returns the counts of a soak test as text.
func soakCounts(r rehearsal.SoakReport) string {
	return fmt.Sprintf("%d asked, %d served, %d rejected, %d unanswered, %d ran, %d of %d served after the faults; %d kills, %d stops, %d freezes, %d reloads, %d lost disks, %d crashes; "+
		"%d revisions, read %d times, %d orders on zones, %d more held up, %d more left early; ",
		r.Requests, r.Served, r.Rejected, r.Failed, r.Runs, r.ServedAfterFaults, r.RequestsAfterFaults, r.Kills, r.Stops, r.Freezes, r.Reloads, r.LostDisks, r.Crashes,
		r.Revisions, r.Reads, r.ZoneRequests, r.DelayedRequests, r.AbandonedRequests)
}
