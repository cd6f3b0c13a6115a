package rehearsal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/platform"
)

// judge counts what was collected and finds the breaches, while the fleet still runs.
func (s *soak) judge(faultsOver time.Time) {
	record := ledger.SoakRecord{Evacuations: s.zones.evacuations, Faults: s.fleet.Faults(), Core: s.fleet.voters()}
	for i := range s.answered {
		a := &s.answered[i]
		repeats := s.routes.mayRepeat(a.path, a.AtMs, a.EndMs)
		a.Once, a.Resumable = !repeats, repeats
		s.count(a, faultsOver)
		record.Answers = append(record.Answers, a.SoakAnswer)
	}
	record.Runs = s.ledgerRuns()
	s.report.Ran = len(record.Runs)
	s.report.ZoneOrders, s.report.HeldOrders, s.report.HastyOrders = s.zones.acknowledged, s.zones.held, s.zones.hasty
	s.report.Races = s.fleet.Races()
	s.report.Breaches = append(s.report.Breaches, ledger.CheckSoak(record, soakRule)...)
	s.report.Breaches = append(s.report.Breaches, s.checkRecovery()...)
}

// ledgerRuns gives the runs and writes them to the ledger, which is there for people: one that can't be written changes no verdict.
func (s *soak) ledgerRuns() []ledger.SoakRun {
	ended := map[string]int64{}
	for i := range s.answered {
		ended[s.answered[i].Attempt] = s.answered[i].EndMs
	}
	lines := json.NewEncoder(s.Ledger)
	var all []ledger.SoakRun
	for _, run := range s.ran {
		attempt := run.Request.Header.Get(platform.HeaderAttemptID)
		stopped := run.Replica.stoppedAt.Load()
		one := ledger.SoakRun{
			AtMs: run.atMs, Attempt: attempt, Instance: run.Replica.Instance, Zone: run.Replica.zone, Altered: run.altered,
			Spoiled: run.Spoiled || (stopped > 0 && stopped <= ended[attempt]),
		}
		all = append(all, one)
		_ = lines.Encode(one)
	}
	return all
}

// checkRecovery finds a fleet that does not serve again after the last fault, and nodes that don't tell the newest configuration.
func (s *soak) checkRecovery() []ledger.Breach {
	var breaches []ledger.Breach
	if served := s.report.CalmServed; float64(served) < leastCalmServed*float64(s.report.CalmAsked) || s.report.CalmAsked == 0 {
		breaches = append(breaches, ledger.Breach{What: ledger.NotRecovered, Request: "clients", Detail: fmt.Sprintf("%d of %d requests", served, s.report.CalmAsked)})
	}
	for _, control := range s.fleet.Controls() {
		if b, broken := s.checkRead(control); broken {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

// readBackTime is for how long a node is asked for the configuration at the end.
const readBackTime = 3 * time.Second

func (s *soak) checkRead(control string) (ledger.Breach, bool) {
	for end := time.Now().Add(readBackTime); time.Now().Before(end); time.Sleep(putPause) {
		revision, known := get(control)
		if !known {
			continue
		}
		if revision < s.report.Revisions {
			return ledger.Breach{What: ledger.WentBack, Request: control, Detail: fmt.Sprintf("revision %d at the end, %d was acknowledged", revision, s.report.Revisions)}, true
		}
		return ledger.Breach{}, false
	}
	return ledger.Breach{What: ledger.NotRecovered, Request: control, Detail: "the configuration can't be read"}, true
}

// voters are the fronts of the nodes that vote.
func (f *Fleet) voters() []string {
	var all []string
	for _, n := range f.nodes {
		if n.voter {
			all = append(all, n.front())
		}
	}
	return all
}
