package modelcheck

import (
	"flag"
	"slices"
	"strings"
	"testing"
)

var (
	states = flag.Int("states", 10_000, "states a world; 0: no bound")
	depth  = flag.Int("depth", 0, "depth of a world; 0: no bound")
)

// bounds are those of the flags.
func bounds() Bounds { return Bounds{MaxStates: *states, MaxDepth: *depth} }

var (
	three = []string{"a", "b", "c"}
	spare = []string{"a", "b", "c", "s"}
)

// everything stands for the delivery of all mail.
const everything = "everything is delivered"

// after takes steps before an exploration begins: each the first event whose description begins so.
func (c *RegisterState) after(t *testing.T, steps []string) *RegisterState {
	t.Helper()
	for _, step := range steps {
		if step == everything {
			for len(c.mail) > 0 {
				c = c.Apply(Event{Kind: deliver})
			}
			continue
		}
		events := c.Events()
		at := slices.IndexFunc(events, func(e Event) bool { return strings.HasPrefix(c.Describe(e), step) })
		if at < 0 {
			t.Fatalf("no event begins with %q", step)
		}
		c = c.Apply(events[at])
	}
	return c
}

// Steps before an exploration.
var (
	// aIsReplaced loses disk a and has the first proposer make a voter of the one that its machine came back with.
	aIsReplaced = []string{"disk a is lost", "p1 begins to replace voter a", everything}
	// halfBegun has a planned change of voters accepted by the new disk alone, and its proposer restart.
	halfBegun = []string{
		"p1 begins to replace voter a by s", "delivered: p asks a to prepare", "delivered: p asks b to prepare", "delivered: p asks s to accept",
		"p1 restarts",
	}
)

// finishedAfterDeadline has the second proposer know of a first change of voters while it is under way; the first one finishes it and begins
// another, which the new disk alone accepts; then the second one finishes what it knows of, and reaches that disk alone.
var finishedAfterDeadline = []string{
	"p1 begins to replace voter a by s", "delivered: p asks a to prepare", "delivered: p asks b to prepare", "delivered: p asks a to accept",
	"delivered: p asks b to accept", "q1 hears", everything,
	"p1 begins to replace voter s by a", "delivered: p asks s to prepare", "delivered: p asks b to prepare", "delivered: p asks a to accept",
	"p1 restarts", "q1 finishes", "delivered: q asks b to prepare", "timer of q1",
	"delivered: q asks a to prepare", "delivered: q asks b to prepare", "delivered: q asks s to prepare", "delivered: q asks a to accept",
}

var finishedAfterDeadlinePlan = RegisterModel{
	Disks: spare, Voters: 3, PlannedReplacements: true, Requests: []OperatorRequest{x},
	Budget: Budget{Timers: 3, Restarts: 1, Replacements: 2, Finishes: 1, Learns: 1},
}

type scenario struct {
	plan   RegisterModel
	before []string
}

var (
	x    = OperatorRequest{ID: "x"}
	y    = OperatorRequest{ID: "y", FirstProposer: 1}
	yOnX = OperatorRequest{ID: "y", BaseVersion: 1, FirstProposer: 1}
	read = OperatorRequest{ID: "r", Kind: Read, FirstProposer: 1}
)

// worlds are the register's worlds that hold on the real machines. The first ones are explored whole, if the flags allow it.
var worlds = map[string]scenario{
	"two orders on one base":                 {plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{x, y}, Budget: Budget{Timers: 1}}},
	"two orders, one sent again":             {plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{x, y}, Budget: Budget{Resends: 1}}},
	"an order on another, and a read":        {plan: RegisterModel{Disks: three, Voters: 3, RequestsBeforeAcknowledgement: true, Requests: []OperatorRequest{x, yOnX, read}, Budget: Budget{Timers: 1}}},
	"an order sent again, proposers restart": {plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{x}, Budget: Budget{Timers: 1, Resends: 1, Restarts: 1}}},
	"two orders, crash before the write":     {plan: RegisterModel{Disks: three, Voters: 3, DelayedWrites: true, Requests: []OperatorRequest{x, y}, Budget: Budget{Crashes: 1}}},
	"two orders, queued answers":             {plan: RegisterModel{Disks: three, Voters: 3, QueuedReplies: true, Requests: []OperatorRequest{x, y}, Budget: Budget{Timers: 1}}},
	"an order and a planned replacement":     {plan: RegisterModel{Disks: spare, Voters: 3, PlannedReplacements: true, Requests: []OperatorRequest{y}, Budget: Budget{Replacements: 1}}},
	"an order, a loss and its replacement":   {plan: RegisterModel{Disks: spare, Voters: 3, Requests: []OperatorRequest{y}, Budget: Budget{Wipes: 1, Replacements: 1}}},
	"a second loss after a replacement": {
		plan:   RegisterModel{Disks: spare, Voters: 3, RequestsBeforeAcknowledgement: true, Requests: []OperatorRequest{x, yOnX}, Budget: Budget{Timers: 1, Wipes: 2, Replacements: 1}},
		before: aIsReplaced,
	},
	"a second loss and its replacement": {
		plan:   RegisterModel{Disks: spare, Voters: 3, Requests: []OperatorRequest{x}, Budget: Budget{Wipes: 2, Replacements: 2, Finishes: 1}},
		before: aIsReplaced,
	},
	"a node that missed a replacement": {
		plan:   RegisterModel{Disks: spare, Voters: 3, PlannedReplacements: true, Budget: Budget{Timers: 1, Wipes: 1, Replacements: 2}},
		before: aIsReplaced,
	},
	"two orders beside a half-begun change of voters": {
		plan:   RegisterModel{Disks: spare, Voters: 3, PlannedReplacements: true, Requests: []OperatorRequest{x, y}, Budget: Budget{Timers: 1, Restarts: 1, Replacements: 1}},
		before: halfBegun,
	},
	"a change of voters is finished late": {plan: finishedAfterDeadlinePlan, before: finishedAfterDeadline},
	"two orders on one base, everything": {
		plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{x, y}, Budget: Budget{Timers: 2, Deadlines: 1, Resends: 1, Duplicates: 1, LostReplies: 1}},
	},
	"three orders, everything": {
		plan: RegisterModel{Disks: three, Voters: 3, Requests: []OperatorRequest{x, yOnX, read}, Budget: Budget{Timers: 1, Deadlines: 1, Resends: 1, Duplicates: 1}},
	},
	"two edits and a read of all": {
		plan: RegisterModel{
			Disks: three, Voters: 3, Budget: Budget{Timers: 2, Resends: 1},
			Requests: []OperatorRequest{{ID: "e", Kind: Edit}, {ID: "f", Kind: Edit, BaseVersion: 1, FirstProposer: 1}, {ID: "r", Kind: FullRead, FirstProposer: 1}},
		},
	},
	"two orders, crash before the write, everything": {
		plan: RegisterModel{Disks: three, Voters: 3, DelayedWrites: true, Requests: []OperatorRequest{x, y}, Budget: Budget{Timers: 1, Crashes: 1, Resends: 1}},
	},
	"an order and a planned replacement, everything": {
		plan: RegisterModel{
			Disks: spare, Voters: 3, PlannedReplacements: true, Requests: []OperatorRequest{y},
			Budget: Budget{Timers: 1, Resends: 1, Replacements: 1, Finishes: 1, Learns: 1},
		},
	},
	"two nodes mend at once": {
		plan: RegisterModel{Disks: spare, Voters: 3, PlannedReplacements: true, Budget: Budget{Timers: 1, Wipes: 1, Replacements: 2, Finishes: 1, Learns: 1}},
	},
}

func TestRegisterWorldsHold(t *testing.T) {
	for name, world := range worlds {
		t.Run(name, func(t *testing.T) {
			world.plan.Protocol = ProductionProtocol()
			report := Explore(NewRegisterState(world.plan).after(t, world.before), bounds())
			if report.Err != nil {
				t.Fatal(report)
			}
			t.Log(report)
		})
	}
}
