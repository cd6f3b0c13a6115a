package ledger

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"
)

var testSoakRule = SoakRule{Contact: 3 * time.Second, Evacuation: 5 * time.Second, Grace: 3 * time.Second}

// whole is an answer of node n4 to attempt a, which was sent at 20 s and is complete.
func whole() SoakResponse {
	event := StreamEvent{ID: "1", Text: StreamText("a", 1, "run", 1)}
	return SoakResponse{
		StreamResponse: StreamResponse{AtMs: 20000, Node: "n4", Request: "a", Total: 1, Events: []StreamEvent{event}, Complete: true},
		Attempt:        "a", EndMs: 20200, Status: http.StatusOK, AtMostOnce: true,
	}
}

func runAt(atMs int64, instance string) SoakRun {
	return SoakRun{AtMs: atMs, Attempt: "a", Instance: instance, Zone: "z"}
}

func faultOf(node string, fromMs, untilMs int64, planned bool) NodeFault {
	return NodeFault{Node: node, Span: Span{FromMs: fromMs, UntilMs: untilMs}, Planned: planned}
}

// TestSoakBreachesAreFound has a record for each breach, and beside it one that the rules allow.
func TestSoakBreachesAreFound(t *testing.T) {
	evacuated := func(fromMs, untilMs int64) map[string][]Span {
		return map[string][]Span{"z": {{FromMs: fromMs, UntilMs: untilMs}}}
	}
	cut := func(a *SoakResponse) { a.Complete, a.Status = false, 0 }
	for name, c := range map[string]struct {
		change func(a *SoakResponse)
		record SoakRecord
		want   string
	}{
		"sound":                               {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}}, ""},
		"another body":                        {nil, SoakRecord{Runs: []SoakRun{{AtMs: 20100, Attempt: "a", Altered: "0 bytes"}}}, RequestAltered},
		"twice":                               {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i"), runAt(20110, "j")}}, RanTwice},
		"twice where it may":                  {func(a *SoakResponse) { a.AtMostOnce, a.Resumable = false, true }, SoakRecord{Runs: []SoakRun{runAt(20100, "i"), runAt(20110, "j")}}, ""},
		"rejected and ran":                    {func(a *SoakResponse) { a.Status = http.StatusServiceUnavailable }, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}}, RejectedButRan},
		"another's event":                     {func(a *SoakResponse) { a.Request = "b" }, SoakRecord{}, WrongRequest},
		"evacuated":                           {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(15000, math.MaxInt64)}, InEvacuatedZone},
		"evacuated just now":                  {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(15200, math.MaxInt64)}, ""},
		"taken back":                          {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(15000, 20090)}, ""},
		"evacuated, its node frozen before":   {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(9000, math.MaxInt64), Faults: []NodeFault{faultOf("n4", 10000, 17200, false)}}, ""},
		"evacuated, its node long back":       {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(9000, math.MaxInt64), Faults: []NodeFault{faultOf("n4", 10000, 17000, false)}}, InEvacuatedZone},
		"evacuated, a voter killed":           {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(9000, math.MaxInt64), Voters: []string{"n1"}, Faults: []NodeFault{faultOf("n1", 18000, 18500, false)}}, ""},
		"evacuated, another node killed":      {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(9000, math.MaxInt64), Voters: []string{"n1"}, Faults: []NodeFault{faultOf("n5", 18000, 18500, false)}}, InEvacuatedZone},
		"cut at a shutdown":                   {cut, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Faults: []NodeFault{faultOf("n4", 20050, 23000, true)}}, ResponseLost},
		"cut at a shutdown by its replica":    {cut, SoakRecord{Runs: []SoakRun{{AtMs: 20100, Attempt: "a", ReplicaFailed: true}}, Faults: []NodeFault{faultOf("n4", 20050, 23000, true)}}, ""},
		"cut at a shutdown, never passed on":  {cut, SoakRecord{Faults: []NodeFault{faultOf("n4", 20050, 23000, true)}}, ""},
		"cut at a shutdown, after a freeze":   {cut, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Faults: []NodeFault{faultOf("n4", 18000, 18500, false), faultOf("n4", 20050, 23000, true)}}, ""},
		"cut by a kill":                       {cut, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Faults: []NodeFault{faultOf("n4", 20150, 23000, false)}}, ""},
		"cut in the grace period's last part": {cut, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Faults: []NodeFault{faultOf("n4", 17500, 20500, true)}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			a := whole()
			if c.change != nil {
				c.change(&a)
			}
			c.record.Responses = []SoakResponse{a}
			var found []string
			for _, b := range CheckSoak(c.record, testSoakRule) {
				found = append(found, b.Kind)
			}
			if got := strings.Join(found, ", "); got != c.want {
				t.Errorf("found %q, not %q", got, c.want)
			}
		})
	}
}
