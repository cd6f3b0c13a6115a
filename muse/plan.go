package muse

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/stage"
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
	Crowds   []stage.Crowd
	Index    bool
	Robin    bool
	Faults   []stage.Fault
	Asks     []stage.Ask
}

type FileError struct{ Path, Why string }

func (e *FileError) Error() (text string) { return e.Path + ": " + e.Why }

func Default(name string) (p Plan) {
	return Plan{Name: name, Shape: "tramites", Times: 1, Seconds: 60, Seeds: 5, First: 1, Rate: 60, Hot: 0.1, Prefixes: 24, Index: true}
}

func kinds() (names []string) {
	return []string{
		stage.Kill, stage.Power, stage.Freeze, stage.CutNode, stage.CutOneWay, stage.CutDomain, stage.SplitCore, stage.Wipe, stage.Move,
		stage.SlowDisk, stage.StallDisk, stage.FullDisk, stage.BadDisk, stage.RepCrash, stage.RepDark, stage.Release, stage.Empty,
		stage.PutStorm, stage.Race, stage.SwapVoters, stage.AllDown, stage.LargePuts, stage.RepTwist, stage.RepBlink, stage.RepSick, stage.CutControl, stage.ClockBack,
		stage.FreezeAct, stage.Lists, stage.Upgrade,
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
	shape, ok := stage.Times(p.Shape, p.Times)
	spec, site := stage.SiteOf(p.Shape, 0)
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
		p.Crowds = append(p.Crowds, stage.Crowd{From: ms(c, "fromMs"), Until: ms(c, "untilMs"), Times: c.Num("times", 1, 0.01, 1000)})
		c.Shut()
	}
	l.Shut()
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
	d.Shut()
	return p, d.Err()
}

func ms(d *config.Desk, key string) (t time.Duration) {
	return time.Duration(d.Int(key, 0, 0, 3600000)) * time.Millisecond
}

func breakdown(d *config.Desk, shape stage.Shape, site bool) (f stage.Fault) {
	f = stage.Fault{At: ms(d, "atMs"), Kind: d.Str("kind", true, 32), For: time.Duration(d.Int("forMs", 3000, -1, 3600000)) * time.Millisecond}
	all := kinds()
	if site {
		all = stage.SiteTroubles()
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
	needs := map[string]bool{stage.CutDomain: true, stage.CutControl: true, stage.Empty: true, stage.SwapVoters: true}
	if needs[f.Kind] && len(f.On) == 0 {
		d.Flaw(d.At("on"), "empty", "named for "+f.Kind)
	}
	d.Shut()
	return f
}

func known(s stage.Shape, name string) (yes bool) {
	return slices.Contains(s.Domains, name) || slices.Contains(s.Others, name) || (len(s.Others) == 0 && strings.HasPrefix(name, "r")) ||
		slices.ContainsFunc(s.Nodes, func(n stage.NodeShape) bool { return n.Name == name })
}
