package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mallowbridge/mallowbridge/sim"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/whatif"
)

// addWhatIfCommand adds the command that simulates fleets according to plans.
func addWhatIfCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("whatif", "Simulate a fleet in virtual time according to a plan, or compare two plans.").Alias("muse")
	files := c.Arg("plan", "Plan (JSON), or two plans to compare; by default a fleet without faults.").Strings()
	seeds := c.Flag("seeds", "Number of seeds; overrides that of the plans.").Int()
	shapeName := c.Flag("shape", "Fleet to simulate if no plan is given: tramites or atlas.").Default("tramites").Enum("tramites", "atlas")
	harFile := c.Flag("har", "HAR file from which to take the load.").String()
	cmds["whatif"] = func(_ io.Reader, out io.Writer) error {
		plans, err := loadPlans(*files, *shapeName)
		if err != nil {
			return err
		}
		var results []whatif.Result
		for _, p := range plans {
			if *seeds > 0 {
				p.Seeds = *seeds
			}
			if err := loadHAR(out, &p, *harFile); err != nil {
				return err
			}
			r, err := p.Run()
			if err != nil {
				return err
			}
			results = append(results, r)
		}
		whatif.Write(out, results...)
		return nil
	}
}

// loadPlans reads the plans from files. Without files it returns the plan of a fleet without faults.
func loadPlans(files []string, shape string) ([]whatif.Plan, error) {
	if len(files) == 0 {
		calm := whatif.Default("calm")
		calm.Shape = shape
		return []whatif.Plan{calm}, nil
	}
	var plans []whatif.Plan
	for _, file := range files {
		p, err := whatif.Load(file)
		if err != nil {
			return nil, err
		}
		plans = append(plans, p)
	}
	return plans, nil
}

// addRecoveryCommand adds the command that measures how fast a simulated fleet recovers from faults.
func addRecoveryCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("recovery", "Cause one fault at a time in a simulated fleet and measure how long the fleet takes to detect it, hand over roles, apply changes and recover.").Alias("gauge")
	seeds := c.Flag("seeds", "Number of seeds.").Default("50").Uint64()
	first := c.Flag("seed", "First seed.").Default("1").Uint64()
	shapeName := c.Flag("shape", "Fleet: tramites or atlas.").Default("tramites").Enum("tramites", "atlas")
	cmds["recovery"] = func(_ io.Reader, out io.Writer) error {
		sh, _ := shape.ByName(*shapeName)
		fmt.Fprintf(out, "%-36s %8s %8s %8s\n", fmt.Sprintf("%s, ms over %d seeds from %d", *shapeName, *seeds, *first), "p50", "p95", "max")
		for _, r := range sim.Measure(sh, *first, *seeds) {
			fmt.Fprintf(out, "%-36s %8d %8d %8d\n", r.Name, sim.Quantile(r.Ms, 0.5), sim.Quantile(r.Ms, 0.95), sim.Quantile(r.Ms, 1))
		}
		return nil
	}
}

// loadHAR replaces a plan's load by the requests in a HAR file, if one is given, and prints the entries that cannot be used.
func loadHAR(out io.Writer, p *whatif.Plan, file string) error {
	if file == "" {
		return nil
	}
	shape, _ := shape.ByName(p.Shape)
	requests, unused, err := whatif.ReadHAR(file, shape.Classes)
	if err != nil {
		return err
	}
	p.Requests = requests
	fmt.Fprintf(out, "%s: %d entries used, %d not\n", file, len(requests), len(unused))
	for _, u := range unused {
		fmt.Fprintln(out, "  "+u)
	}
	return nil
}
