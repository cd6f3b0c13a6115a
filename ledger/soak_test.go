package ledger

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"
)

var testRule = SoakRule{Contact: 3 * time.Second, Evacuation: 5 * time.Second, Grace: 3 * time.Second}

// completeResponse is a complete response of node n4 to attempt a, which was sent at 20 s.
func completeResponse() SoakResponse {
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

// TestCheckSoakFindsEachBreach has a record for each breach, and similar records that the rule allows.
func TestCheckSoakFindsEachBreach(t *testing.T) {
	evacuated := func(fromMs, untilMs int64) map[string][]Span {
		return map[string][]Span{"z": {{FromMs: fromMs, UntilMs: untilMs}}}
	}
	brokenOff := func(r *SoakResponse) { r.Complete, r.Status = false, 0 }
	for name, c := range map[string]struct {
		change func(a *SoakResponse)
		record SoakRecord
		want   string
	}{
		"no breach":                                        {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}}, ""},
		"altered body":                                     {nil, SoakRecord{Runs: []SoakRun{{AtMs: 20100, Attempt: "a", Altered: "0 bytes"}}}, RequestAltered},
		"ran twice":                                        {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i"), runAt(20110, "j")}}, RanTwice},
		"ran twice, as allowed":                            {func(r *SoakResponse) { r.AtMostOnce, r.Resumable = false, true }, SoakRecord{Runs: []SoakRun{runAt(20100, "i"), runAt(20110, "j")}}, ""},
		"rejected and ran":                                 {func(r *SoakResponse) { r.Status = http.StatusServiceUnavailable }, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}}, RejectedButRan},
		"event of another request":                         {func(r *SoakResponse) { r.Request = "b" }, SoakRecord{}, WrongRequest},
		"zone evacuated":                                   {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(15000, math.MaxInt64)}, InEvacuatedZone},
		"zone evacuated just before":                       {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(15200, math.MaxInt64)}, ""},
		"zone restored just before":                        {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(15000, 20090)}, ""},
		"zone evacuated, node frozen just before":          {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(9000, math.MaxInt64), Faults: []NodeFault{faultOf("n4", 10000, 17200, false)}}, ""},
		"zone evacuated, node frozen longer ago":           {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(9000, math.MaxInt64), Faults: []NodeFault{faultOf("n4", 10000, 17000, false)}}, InEvacuatedZone},
		"zone evacuated, voter killed":                     {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(9000, math.MaxInt64), Voters: []string{"n1"}, Faults: []NodeFault{faultOf("n1", 18000, 18500, false)}}, ""},
		"zone evacuated, other node killed":                {nil, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Evacuations: evacuated(9000, math.MaxInt64), Voters: []string{"n1"}, Faults: []NodeFault{faultOf("n5", 18000, 18500, false)}}, InEvacuatedZone},
		"broken off at a shutdown":                         {brokenOff, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Faults: []NodeFault{faultOf("n4", 20050, 23000, true)}}, ResponseLost},
		"broken off at a shutdown by the replica":          {brokenOff, SoakRecord{Runs: []SoakRun{{AtMs: 20100, Attempt: "a", ReplicaFailed: true}}, Faults: []NodeFault{faultOf("n4", 20050, 23000, true)}}, ""},
		"broken off at a shutdown, never forwarded":        {brokenOff, SoakRecord{Faults: []NodeFault{faultOf("n4", 20050, 23000, true)}}, ""},
		"broken off at a shutdown after a freeze":          {brokenOff, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Faults: []NodeFault{faultOf("n4", 18000, 18500, false), faultOf("n4", 20050, 23000, true)}}, ""},
		"broken off by a kill":                             {brokenOff, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Faults: []NodeFault{faultOf("n4", 20150, 23000, false)}}, ""},
		"broken off in the last sixth of the grace period": {brokenOff, SoakRecord{Runs: []SoakRun{runAt(20100, "i")}, Faults: []NodeFault{faultOf("n4", 17500, 20500, true)}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := completeResponse()
			if c.change != nil {
				c.change(&r)
			}
			c.record.Responses = []SoakResponse{r}
			var found []string
			for _, b := range CheckSoak(c.record, testRule) {
				found = append(found, b.Kind)
			}
			if got := strings.Join(found, ", "); got != c.want {
				t.Errorf("got breaches %q, want %q", got, c.want)
			}
		})
	}
}
