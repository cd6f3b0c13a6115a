package whatif

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/sim"
)

type Plan struct {
	Name     string
	Shape    string
	Config   []byte
	Times    int
	Seconds  int
	Seeds    int
	First    int
	Rate     float64
	Hot      float64
	Prefixes int
	Crowds   []sim.Crowd
	Index    bool
	Robin    bool
	Faults   []sim.Fault
	Asks     []sim.Ask
}

type FileError struct{ Path, Why string }

func (e *FileError) Error() (text string) { return e.Path + ": " + e.Why }

func Default(name string) (p Plan) {
	return Plan{Name: name, Shape: "tramites", Times: 1, Seconds: 60, Seeds: 5, First: 1, Rate: 60, Hot: 0.1, Prefixes: 24, Index: true}
}

func kinds() (names []string) {
	return []string{
		sim.Kill, sim.Power, sim.Freeze, sim.CutNode, sim.CutOneWay, sim.CutDomain, sim.SplitCore, sim.Wipe, sim.Move,
		sim.SlowDisk, sim.StallDisk, sim.FullDisk, sim.BadDisk, sim.RepCrash, sim.RepDark, sim.Release, sim.Empty,
		sim.PutStorm, sim.Race, sim.SwapVoters, sim.AllDown, sim.LargePuts, sim.RepTwist, sim.RepBlink, sim.RepSick, sim.CutControl, sim.ClockBack,
		sim.FreezeAct, sim.Lists, sim.Upgrade,
	}
}

func Load(path string) (p Plan, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return p, trace.Wrap(&FileError{Path: path, Why: err.Error()})
	}
	if p, err = Read(strings.TrimSuffix(filepath.Base(path), ".json"), raw); err != nil {
		return p, err
	}
	return p, nil
}

func Read(name string, raw []byte) (p Plan, err error) {
	d, err := config.Open(raw)
	if err != nil {
		return p, err
	}
	p = Default(name)
	if s := d.Str("shape", false, 16); s != "" {
		p.Shape = s
	}
	p.Times = d.Int("times", 1, 1, 16)
	shape, ok := sim.Times(p.Shape, p.Times)
	spec, site := sim.SiteOf(p.Shape, 0)
	switch {
	case site:
		shape, p.Rate, p.Hot = spec.Shape, 0, 0
	case !ok:
		d.Flaw(d.At("shape"), p.Shape, "tramites, atlas, tramites site or atlas site")
	}
	p.Seconds, p.Seeds, p.First = d.Int("seconds", p.Seconds, 20, 3600), d.Int("seeds", p.Seeds, 1, 1000), d.Int("firstSeed", 1, 1, 1<<30)
	p.Index, p.Robin = d.Bool("index", true), d.Bool("roundRobin", false)
	l := d.Sub("load")
	p.Rate, p.Hot, p.Prefixes = l.Num("rate", p.Rate, 0.1, 10000), l.Num("hot", p.Hot, 0, 1), l.Int("prefixes", p.Prefixes, 1, 10000)
	for _, c := range l.List("crowds", 0, 64) {
		p.Crowds = append(p.Crowds, sim.Crowd{From: ms(c, "fromMs"), Until: ms(c, "untilMs"), Times: c.Num("times", 1, 0.01, 1000)})
		c.Close()
	}
	l.Close()
	for _, f := range d.List("breakdowns", 0, 1024) {
		p.Faults = append(p.Faults, breakdown(f, shape, site))
	}
	if site && p.Times > 1 {
		d.Flaw(d.At("times"), fmt.Sprint(p.Times), "1 for a site")
	}
	if path := d.Str("config", false, 4096); path != "" && site {
		d.Flaw(d.At("config"), path, "absent for a site")
	} else if path != "" {
		if p.Config, err = os.ReadFile(path); err != nil {
			d.Flaw(d.At("config"), path, "a file that can be read")
		}
	}
	d.Close()
	return p, d.Err()
}

func ms(d *config.Decoder, key string) (t time.Duration) {
	return time.Duration(d.Int(key, 0, 0, 3600000)) * time.Millisecond
}

func breakdown(d *config.Decoder, shape sim.Shape, site bool) (f sim.Fault) {
	f = sim.Fault{At: ms(d, "atMs"), Kind: d.Str("kind", true, 32), For: time.Duration(d.Int("forMs", 3000, -1, 3600000)) * time.Millisecond}
	all := kinds()
	if site {
		all = sim.SiteTroubles()
	}
	if !slices.Contains(all, f.Kind) {
		d.Flaw(d.At("kind"), f.Kind, "one of "+strings.Join(all, ", "))
	}
	for i, e := range d.List("on", 0, 4096) {
		name := e.Text(64)
		if !known(shape, name) {
			d.Flaw(fmt.Sprintf("%s[%d]", d.At("on"), i), name, "a node, domain or replica of the fleet")
		}
		f.On = append(f.On, name)
	}
	needs := map[string]bool{sim.CutDomain: true, sim.CutControl: true, sim.Empty: true, sim.SwapVoters: true}
	if needs[f.Kind] && len(f.On) == 0 {
		d.Flaw(d.At("on"), "empty", "named for "+f.Kind)
	}
	d.Close()
	return f
}

func known(s sim.Shape, name string) (yes bool) {
	return slices.Contains(s.Domains, name) || slices.Contains(s.Others, name) || (len(s.Others) == 0 && strings.HasPrefix(name, "r")) ||
		slices.ContainsFunc(s.Nodes, func(n sim.NodeShape) bool { return n.Name == name })
}
