package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/standin/rehearsal"
)

// streamsLedgerFile is the name of the clients' ledger in the directory of a rehearsal.
const streamsLedgerFile = "streams.jsonl"

// addStreamsCommand adds the command that tests streamed responses with real node processes.
func addStreamsCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("streams", "Run nodes of the platform as processes, cause faults around them, and check the streams that clients get.")
	o := rehearsal.StreamOptions{Faults: rehearsal.DefaultFaultRates()}
	flags := rehearsalFlags{dir: ".fleet/streams", nodes: "5", clients: "32", nodeRangeHelp: "3 to 15", durationHelp: "How long clients send requests."}
	flags.addTo(c, &o.Options)
	cmds["streams"] = func(_ io.Reader, out io.Writer) error { return rehearseStreams(o, out) }
}

// rehearseStreams runs the rehearsal and reports its result.
func rehearseStreams(o rehearsal.StreamOptions, out io.Writer) error {
	if err := prepareRehearsal(&o.Options, streamsLedgerFile); err != nil {
		return err
	}
	r, err := rehearsal.RunStreams(o)
	if err != nil {
		return trace.Wrap(err)
	}
	return rehearsalResult{counts: streamCounts(r), breaches: r.Breaches, dataRaces: r.DataRaces}.report(out, o.Dir)
}

// streamCounts returns the counts of a rehearsal as text.
func streamCounts(r rehearsal.StreamReport) string {
	return fmt.Sprintf("%d answers, %d complete, %d resumed by their clients; %d kills, %d stops, %d freezes, %d releases, %d crashes; %d revisions, read %d times, ",
		r.Responses, r.Complete, r.Resumed, r.Kills, r.Stops, r.Freezes, r.Releases, r.Crashes, r.Revisions, r.Reads)
}
