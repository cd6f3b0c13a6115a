package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/mallowbridge/mallowbridge/daemon"
	"github.com/mallowbridge/mallowbridge/ledger"
	"github.com/mallowbridge/mallowbridge/sim/replica"
	"github.com/mallowbridge/mallowbridge/sim/workload"
	"github.com/mallowbridge/mallowbridge/standin"
)

func standIns(app *kingpin.Application, cmds map[string]command) {
	standinReplica(app, cmds)
	clients(app, cmds)
	check(app, cmds)
}

func standinReplica(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("replica", "Run a stand-in replica, for rehearsals.")
	name := c.Flag("name", "Name of the replica.").Required().String()
	addr := c.Flag("http", "IP:port to serve.").Required().String()
	model := c.Flag("model", "Model that it serves.").Default("m1").String()
	path := c.Flag("ledger", "File that gets a line for each run.").String()
	m := replica.DefaultModel()
	c.Flag("room", "Requests that it runs at once.").Default("8").IntVar(&m.Capacity)
	c.Flag("keep", "Tokens that its prefix cache keeps.").Default("65536").IntVar(&m.CacheCapacity)
	c.Flag("pieces", "Pieces in an answer.").Default("24").IntVar(&m.Chunks)
	c.Flag("cold", "How long it stays cold.").Default("6s").DurationVar(&m.WarmupTime)
	cmds["replica"] = func(io.Reader, io.Writer) error {
		w, err := standin.OpenRunLog(*path)
		if err != nil {
			return err
		}
		lis, err := net.Listen("tcp", *addr)
		if err != nil {
			return trace.ConvertSystemError(err)
		}
		t := &tomb.Tomb{}
		instance := *name + "-" + strconv.FormatInt(time.Now().UnixNano(), 36)
		standin.NewReplica(t, standin.ReplicaOptions{
			Name: *name, Model: *model, Instance: instance, Engine: m, Runs: w, Clock: daemon.Clock,
		}).Serve(lis)
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
		<-stop
		t.Kill(nil)
		return t.Wait()
	}
}

func clients(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("client", "Run stand-in clients, for rehearsals.").Alias("agent")
	nodes := c.Flag("node", "HTTP IP:port of a node; repeat it.").Required().Strings()
	service := c.Flag("offer", "Service to ask.").Default("zoning").String()
	classes := c.Flag("kind", "Class of requests that may be repeated.").Default("counter", "checklist").Strings()
	once := c.Flag("once", "Class of requests that may not be repeated.").Default("dossier").Strings()
	rate := c.Flag("rate", "Requests per second.").Default("20").Float64()
	n := c.Flag("count", "Requests in all.").Default("200").Int()
	hot := c.Flag("hot", "Share of requests with one hot prefix.").Default("0.1").Float64()
	seed := c.Flag("seed", "Seed of the load.").Default("1").Uint64()
	tag := c.Flag("tag", "Front of the request ids; new for each run.").Default(strconv.FormatInt(time.Now().Unix(), 36)).String()
	path := c.Flag("ledger", "File that gets a line for each request.").String()
	cmds["client"] = func(_ io.Reader, out io.Writer) error {
		w, err := standin.OpenRunLog(*path)
		if err != nil {
			return err
		}
		load := clientLoad(*rate, *hot, *service, *classes, *once)
		enc := json.NewEncoder(w)
		sums := map[string]int{}
		var firsts []int64
		standin.NewAgent(*nodes).Run(context.Background(), workload.NewSource(load, *seed, *tag), *n, func(g ledger.Got) {
			_ = enc.Encode(g)
			sums[g.Outcome]++
			if g.Outcome == "done" {
				firsts = append(firsts, g.FirstMs)
			}
		})
		slices.Sort(firsts)
		return report(out, sums, firsts)
	}
}

func clientLoad(rate, hotRatio float64, service string, repeatable, once []string) workload.Load {
	load := workload.Load{Rate: rate, PrefixesPerClass: 24, HotRatio: hotRatio}
	for _, k := range repeatable {
		load.Classes = append(load.Classes, workload.ClassLoad{Service: service, Name: k, Repeatable: true})
	}
	for _, k := range once {
		load.Classes = append(load.Classes, workload.ClassLoad{Service: service, Name: k})
	}
	return load
}

func report(out io.Writer, sums map[string]int, firsts []int64) error {
	for _, k := range []string{"done", "denied", "partial", "unknown", "repeat", "bad", "lost"} {
		fmt.Fprintf(out, "%-8s %d\n", k, sums[k])
	}
	if n := len(firsts); n > 0 {
		fmt.Fprintf(out, "first piece: median %d ms, 95%% %d ms\n", firsts[n/2], firsts[n*95/100])
	}
	return nil
}

// BreachError says how many breaches the ledgers show.
type BreachError struct{ N int }

func (e *BreachError) Error() string { return fmt.Sprintf("%d breaches", e.N) }

func check(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("check", "Judge the ledgers of stand-in replicas and clients.")
	ran := c.Flag("ran", "Pattern of the replicas' ledgers.").String()
	got := c.Flag("got", "Pattern of the clients' ledgers.").String()
	answers := c.Flag("streams", "Pattern of the ledgers of streaming clients.").String()
	cmds["check"] = func(_ io.Reader, out io.Writer) error {
		gots, err := lines[ledger.Got](*got)
		if err != nil {
			return err
		}
		rans, err := lines[ledger.Ran](*ran)
		if err != nil {
			return err
		}
		streamed, err := lines[ledger.StreamAnswer](*answers)
		if err != nil {
			return err
		}
		if len(gots)+len(streamed) == 0 {
			return trace.BadParameter("no ledger of a client has a line: --got or --streams")
		}
		counts := fmt.Sprintf("%d runs, %d streams, %d outcomes, ", len(rans), len(streamed), len(gots))
		return reportBreaches(out, counts, append(ledger.Check(rans, gots), ledger.CheckStreams(streamed)...))
	}
}

// lines reads the JSON lines of all files that match a pattern.
func lines[T any](pattern string) ([]T, error) {
	names, err := filepath.Glob(pattern)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var rows []T
	for _, name := range names {
		some, err := linesOf[T](name)
		if err != nil {
			return nil, err
		}
		rows = append(rows, some...)
	}
	return rows, nil
}

func linesOf[T any](name string) ([]T, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	sc.Buffer(nil, 1<<20)
	var rows []T
	for n := 1; sc.Scan(); n++ {
		var row T
		if err := json.Unmarshal(sc.Bytes(), &row); err != nil {
			return nil, trace.Wrap(&LineError{Line: n, Cause: fmt.Errorf("%s: %w", name, err)})
		}
		rows = append(rows, row)
	}
	return rows, nil
}
