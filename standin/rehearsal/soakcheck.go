package rehearsal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/platform"
)

// check counts what was collected and finds the breaches. The fleet must still be running.
func (s *soak) check(faultsOver time.Time) {
	record := ledger.SoakRecord{Evacuations: s.zones.evacuations, Faults: s.fleet.PastFaults(), Voters: s.fleet.voterFrontends()}
	for i := range s.recordedResponses {
		a := &s.recordedResponses[i]
		mayRepeat := s.routes.mayRepeat(a.path, a.AtMs, a.EndMs)
		a.AtMostOnce, a.Resumable = !mayRepeat, mayRepeat
		s.count(a, faultsOver)
		record.Responses = append(record.Responses, a.SoakResponse)
	}
	record.Runs = s.ledgerRuns()
	s.report.Runs = len(record.Runs)
	s.report.ZoneRequests, s.report.DelayedRequests, s.report.AbandonedRequests = s.zones.acknowledgedCount, s.zones.delayedCount, s.zones.abandonedCount
	s.report.DataRaces = s.fleet.CountDataRaces()
	s.report.Breaches = append(s.report.Breaches, ledger.CheckSoak(record, soakRule)...)
	s.report.Breaches = append(s.report.Breaches, s.checkRecovery()...)
	s.report.Breaches = append(s.report.Breaches, s.fleet.exits.breaches()...)
}

// ledgerRuns converts the runs to rows of the ledger and writes them to it. It ignores write errors, because the verdict does not depend on the
// written ledger.
func (s *soak) ledgerRuns() []ledger.SoakRun {
	endMs := map[string]int64{}
	for i := range s.recordedResponses {
		endMs[s.recordedResponses[i].Attempt] = s.recordedResponses[i].EndMs
	}
	ledgerRows := json.NewEncoder(s.Ledger)
	var all []ledger.SoakRun
	for _, run := range s.recordedRuns {
		attempt := run.Request.Header.Get(platform.HeaderAttemptID)
		stopped := run.Replica.stoppedAt.Load()
		row := ledger.SoakRun{
			AtMs: run.atMs, Attempt: attempt, Instance: run.Replica.Instance, Zone: run.Replica.zone, Altered: run.alteration,
			ReplicaFailed: run.Faulty || (stopped > 0 && stopped <= endMs[attempt]),
		}
		all = append(all, row)
		_ = ledgerRows.Encode(row)
	}
	return all
}

// checkRecovery finds breaches of the recovery after the last fault: too few served requests, and nodes that don't return the newest configuration.
func (s *soak) checkRecovery() []ledger.Breach {
	var breaches []ledger.Breach
	if served := s.report.ServedAfterFaults; float64(served) < minServedRatio*float64(s.report.RequestsAfterFaults) || s.report.RequestsAfterFaults == 0 {
		breaches = append(breaches, ledger.Breach{Kind: ledger.NotRecovered, Request: "clients", Detail: fmt.Sprintf("%d of %d requests", served, s.report.RequestsAfterFaults)})
	}
	for _, control := range s.fleet.ControlAddrs() {
		if b, broken := s.checkReadBack(control); broken {
			breaches = append(breaches, b)
		}
	}
	return breaches
}

// readBackTimeout bounds how long a node is polled for its configuration at the end.
const readBackTimeout = 3 * time.Second

// checkReadBack reads the configuration of a node and returns a breach if it is outdated or can't be read.
func (s *soak) checkReadBack(control string) (ledger.Breach, bool) {
	for end := time.Now().Add(readBackTimeout); time.Now().Before(end); time.Sleep(maxRetryPause) {
		revision, known := getRevision(control)
		if !known {
			continue
		}
		if revision < s.report.Revisions {
			return ledger.Breach{Kind: ledger.RevisionRegressed, Request: control, Detail: fmt.Sprintf("revision %d at the end, %d was acknowledged", revision, s.report.Revisions)}, true
		}
		return ledger.Breach{}, false
	}
	return ledger.Breach{Kind: ledger.NotRecovered, Request: control, Detail: "the configuration can't be read"}, true
}

// voterFrontends returns the frontend addresses of the voters.
func (f *Fleet) voterFrontends() []string {
	var all []string
	for _, n := range f.nodes {
		if n.voter {
			all = append(all, n.frontendAddr())
		}
	}
	return all
}
