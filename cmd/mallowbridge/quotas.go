package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/standin/rehearsal"
)

// quotaLedgerFile is the name of the replicas' ledger in the directory of a rehearsal.
const quotaLedgerFile = "ran.jsonl"

// addQuotasCommand adds the command that tests tenants' quotas with real node processes.
func addQuotasCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("quotas", "Run nodes of the platform as processes with tenants that exceed their quotas, while nodes fail and quotas change, and check what the replicas ran.")
	var o rehearsal.QuotaOptions
	c.Flag("dir", "Directory for settings, disks, logs and the ledger; created if it does not exist.").Default(".fleet/quotas").StringVar(&o.Dir)
	c.Flag("seed", "Seed of faults and load.").Default("1").Uint64Var(&o.Seed)
	c.Flag("for", "How long clients send requests.").Default("60s").DurationVar(&o.Duration)
	c.Flag("nodes", "Number of node processes, 3 to 252; the first three have a disk.").Default("9").IntVar(&o.Nodes)
	c.Flag("replicas", "Number of stand-in replicas.").Default("6").IntVar(&o.Replicas)
	c.Flag("clients", "Number of clients, each with its own connection.").Default("64").IntVar(&o.Clients)
	c.Flag("calm", "Cause no faults of nodes and replicas.").BoolVar(&o.NoFaults)
	c.Flag("unchanged", "Do not change the configuration.").BoolVar(&o.FixedConfiguration)
	cmds["quotas"] = func(_ io.Reader, out io.Writer) error { return rehearseQuotas(o, out) }
}

// rehearseQuotas runs the rehearsal and reports its result.
func rehearseQuotas(o rehearsal.QuotaOptions, out io.Writer) error {
	folder, err := openRehearsalFolder(o.Dir, quotaLedgerFile)
	if err != nil {
		return err
	}
	o.Dir, o.Binary, o.Ledger = folder.dir, folder.binary, folder.ledger
	r, err := rehearsal.RunQuotas(o)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.DataRaces > 0 {
		return trace.Wrap(&DataRaceError{N: r.DataRaces, Dir: o.Dir})
	}
	return printBreaches(out, quotaCounts(r), r.Breaches)
}

// quotaCounts returns the counts of a rehearsal as text.
func quotaCounts(r rehearsal.QuotaReport) string {
	var usage strings.Builder
	for _, w := range r.Windows {
		fmt.Fprintf(&usage, "%s %.3f of what is allowed, ", w.Tenant, w.Utilization())
	}
	return fmt.Sprintf("%d asked, %d ran, %d over quota, %d unauthorized, %d unanswered, %.3f of the requests within limits rejected; %d kills, %d stops, %d freezes, %d reloads, %d crashes, %d revisions; %s",
		r.Requests, r.Runs, r.OverQuota, r.Unauthorized, r.Failed, r.CompliantRejectRatio, r.Kills, r.Stops, r.Freezes, r.Reloads, r.Crashes, r.Revisions, usage.String())
}
