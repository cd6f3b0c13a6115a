package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/standin/rehearsal"
)

// quotaLedger is the name of the replicas' ledger in the folder of a rehearsal.
const quotaLedger = "ran.jsonl"

// quotas rehearses tenants' quotas through real node processes.
func quotas(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("quotas", "Run nodes of the platform as processes under tenants that ask for too much, while nodes fail and limits change, and judge what replicas ran.")
	var o rehearsal.QuotaOptions
	c.Flag("dir", "Folder for settings, disks, logs and the ledger; made where there is none.").Default(".fleet/quotas").StringVar(&o.Dir)
	c.Flag("seed", "Seed of faults and load.").Default("1").Uint64Var(&o.Seed)
	c.Flag("for", "How long clients ask.").Default("60s").DurationVar(&o.For)
	c.Flag("nodes", "Node processes, 3 to 252; the first three have a disk.").Default("9").IntVar(&o.Nodes)
	c.Flag("replicas", "Stand-in replicas.").Default("6").IntVar(&o.Replicas)
	c.Flag("clients", "Clients, each with a connection of its own.").Default("64").IntVar(&o.Clients)
	c.Flag("calm", "No faults of nodes and replicas.").BoolVar(&o.Calm)
	c.Flag("unchanged", "No changes of the configuration.").BoolVar(&o.Unchanged)
	cmds["quotas"] = func(_ io.Reader, out io.Writer) error { return rehearseQuotas(o, out) }
}

func rehearseQuotas(o rehearsal.QuotaOptions, out io.Writer) error {
	folder, err := openFolder(o.Dir, quotaLedger)
	if err != nil {
		return err
	}
	o.Dir, o.Binary, o.Ledger = folder.dir, folder.binary, folder.ledger
	r, err := rehearsal.RunQuotas(o)
	if err != nil {
		return trace.Wrap(err)
	}
	if r.Races > 0 {
		return trace.Wrap(&DataRaceError{N: r.Races, Dir: o.Dir})
	}
	return reportBreaches(out, quotaCounts(r), r.Breaches)
}

func quotaCounts(r rehearsal.QuotaReport) string {
	var fullest strings.Builder
	for _, w := range r.Windows {
		fmt.Fprintf(&fullest, "%s %.3f of what is allowed, ", w.Tenant, w.Part())
	}
	return fmt.Sprintf("%d asked, %d ran, %d over quota, %d unauthorized, %d unanswered, %.3f of the usual refused; %d kills, %d stops, %d freezes, %d reloads, %d crashes, %d revisions; %s",
		r.Asked, r.Ran, r.OverQuota, r.Unauthorized, r.Unanswered, r.UsualRefused, r.Kills, r.Stops, r.Freezes, r.Reloads, r.Crashes, r.Revisions, fullest.String())
}
