package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mallowbridge/mallowbridge/sim"
	"github.com/mallowbridge/mallowbridge/sim/shape"
	"github.com/mallowbridge/mallowbridge/whatif"
)

func whatIf(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("whatif", "Answer what-if questions: run a fleet in virtual time, by one plan or two side by side.").Alias("muse")
	files := c.Arg("plan", "Plan (JSON), or two to compare; none is the calm fleet.").Strings()
	seeds := c.Flag("seeds", "Seeds, instead of the plans' own.").Int()
	shapeName := c.Flag("shape", "Fleet when no plan is given: tramites or atlas.").Default("tramites").Enum("tramites", "atlas")
	harFile := c.Flag("har", "Take the load from this HAR file.").String()
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
			if err := replay(out, &p, *harFile); err != nil {
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

// loadPlans reads the plans, or gives the calm one where there are none.
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

func recovery(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("recovery", "Break one thing at a time in a simulated fleet and time how long the fleet takes to notice, hand over, obey, return.").Alias("gauge")
	seeds := c.Flag("seeds", "Seeds.").Default("50").Uint64()
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

// replay has a plan take its requests from a HAR file, if one is given, and names the entries that it cannot use.
func replay(out io.Writer, p *whatif.Plan, file string) error {
	if file == "" {
		return nil
	}
	shape, _ := shape.ByName(p.Shape)
	asks, unused, err := whatif.ReadHAR(file, shape.Classes)
	if err != nil {
		return err
	}
	p.Requests = asks
	fmt.Fprintf(out, "%s: %d entries used, %d not\n", file, len(asks), len(unused))
	for _, u := range unused {
		fmt.Fprintln(out, "  "+u)
	}
	return nil
}
