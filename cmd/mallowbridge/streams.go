package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/standin/rehearsal"
)

// streamsLedgerFile is the name of the clients' ledger in the directory of a rehearsal.
const streamsLedgerFile = "streams.jsonl"

// DataRaceError is the error if the race detector found data races in a node. The logs are in Dir.
type DataRaceError struct {
	N   int
	Dir string
}

func (e *DataRaceError) Error() string {
	return fmt.Sprintf("%d data races, see the logs in %s", e.N, e.Dir)
}

// addStreamsCommand adds the command that tests streamed responses with real node processes.
func addStreamsCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("streams", "Run nodes of the platform as processes, cause faults around them, and check the streams that clients get.")
	o := rehearsal.StreamOptions{Faults: rehearsal.DefaultFaultRates()}
	c.Flag("dir", "Directory for settings, disks, logs and the ledger; created if it does not exist.").Default(".fleet/streams").StringVar(&o.Dir)
	c.Flag("seed", "Seed of faults and load.").Default("1").Uint64Var(&o.Seed)
	c.Flag("for", "How long clients send requests.").Default("60s").DurationVar(&o.Duration)
	c.Flag("nodes", "Number of node processes, 3 to 15; the first three have a disk.").Default("5").IntVar(&o.Nodes)
	c.Flag("replicas", "Number of stand-in replicas.").Default("6").IntVar(&o.Replicas)
	c.Flag("clients", "Number of concurrent clients.").Default("32").IntVar(&o.Clients)
	cmds["streams"] = func(_ io.Reader, out io.Writer) error { return rehearseStreams(o, out) }
}

// rehearseStreams runs the rehearsal and reports its result.
func rehearseStreams(o rehearsal.StreamOptions, out io.Writer) error {
	folder, err := openRehearsalFolder(o.Dir, streamsLedgerFile)
	if err != nil {
		return err
	}
	o.Dir, o.Binary, o.Ledger = folder.dir, folder.binary, folder.ledger
	r, err := rehearsal.RunStreams(o)
	if err != nil {
		return trace.Wrap(err)
	}
	counts := fmt.Sprintf("%d answers, %d complete, %d resumed by their clients; %d kills, %d stops, %d freezes, %d releases, %d crashes; %d revisions, read %d times, ",
		r.Responses, r.Complete, r.Resumed, r.Kills, r.Stops, r.Freezes, r.Releases, r.Crashes, r.Revisions, r.Reads)
	if r.DataRaces > 0 {
		return trace.Wrap(&DataRaceError{N: r.DataRaces, Dir: o.Dir})
	}
	return printBreaches(out, counts, r.Breaches)
}

// printBreaches prints the breaches and then the counts. It returns a *BreachError if there is a breach.
func printBreaches(out io.Writer, counts string, breaches []ledger.Breach) error {
	for _, b := range breaches {
		fmt.Fprintln(out, b)
	}
	fmt.Fprintf(out, "%s%d breaches\n", counts, len(breaches))
	if len(breaches) > 0 {
		return trace.Wrap(&BreachError{N: len(breaches)})
	}
	return nil
}
