package main

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mallowbridge/mallowbridge/sim"
	"github.com/mallowbridge/mallowbridge/whatif"
)

func whatIf(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("muse", "Answer what-if questions: run a fleet in virtual time, by one plan or two side by side.")
	files := c.Arg("plan", "Plan (JSON), or two to compare; none is the calm fleet.").Strings()
	seeds := c.Flag("seeds", "Seeds, instead of the plans' own.").Int()
	shape := c.Flag("shape", "Fleet when no plan is given: tramites or atlas.").Default("tramites").Enum("tramites", "atlas")
	harFile := c.Flag("har", "Take the load from this HAR file.").String()
	cmds["muse"] = func(_ io.Reader, out io.Writer) error {
		plans := []whatif.Plan{whatif.Default("calm")}
		plans[0].Shape = *shape
		if len(*files) > 0 {
			plans = nil
		}
		for _, f := range *files {
			p, err := whatif.Load(f)
			if err != nil {
				return err
			}
			plans = append(plans, p)
		}
		var rs []whatif.Result
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
			rs = append(rs, r)
		}
		whatif.Write(out, rs...)
		return nil
	}
}

func gauge(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("gauge", "Break one thing at a time in a simulated fleet and time how long the fleet takes to notice, hand over, obey, return.")
	seeds := c.Flag("seeds", "Seeds.").Default("50").Uint64()
	first := c.Flag("seed", "First seed.").Default("1").Uint64()
	shape := c.Flag("shape", "Fleet: tramites or atlas.").Default("tramites").Enum("tramites", "atlas")
	cmds["gauge"] = func(_ io.Reader, out io.Writer) error {
		sh, _ := sim.ShapeOf(*shape)
		fmt.Fprintf(out, "%-36s %8s %8s %8s\n", fmt.Sprintf("%s, ms over %d seeds from %d", *shape, *seeds, *first), "p50", "p95", "max")
		for _, r := range sim.Gauge(sh, *first, *seeds) {
			fmt.Fprintf(out, "%-36s %8d %8d %8d\n", r.Name, sim.Quantile(r.Ms, 0.5), sim.Quantile(r.Ms, 0.95), sim.Quantile(r.Ms, 1))
		}
		return nil
	}
}

func replay(out io.Writer, p *whatif.Plan, file string) (err error) {
	if file == "" {
		return nil
	}
	shape, _ := sim.ShapeOf(p.Shape)
	asks, unused, err := whatif.ReadHAR(file, shape.Kinds)
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
