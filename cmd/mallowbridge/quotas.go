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
	flags := rehearsalFlags{dir: ".fleet/quotas", nodes: "9", clients: "64", nodeRangeHelp: "3 to 252", durationHelp: "How long clients send requests."}
	flags.addTo(c, &o.Options)
	c.Flag("calm", "Cause no faults of nodes and replicas.").BoolVar(&o.NoFaults)
	c.Flag("unchanged", "Do not change the configuration.").BoolVar(&o.FixedConfiguration)
	cmds["quotas"] = func(_ io.Reader, out io.Writer) error { return rehearseQuotas(o, out) }
}

// rehearseQuotas runs the rehearsal and reports its result.
func rehearseQuotas(o rehearsal.QuotaOptions, out io.Writer) error {
	if err := prepareRehearsal(&o.Options, quotaLedgerFile); err != nil {
		return err
	}
	r, err := rehearsal.RunQuotas(o)
	if err != nil {
		return trace.Wrap(err)
	}
	return rehearsalResult{counts: quotaCounts(r), breaches: r.Breaches, dataRaces: r.DataRaces}.report(out, o.Dir)
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
