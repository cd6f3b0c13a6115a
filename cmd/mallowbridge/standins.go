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

// addStandInCommands adds the commands that run stand-in replicas and clients and check their ledgers.
func addStandInCommands(app *kingpin.Application, cmds map[string]command) {
	addReplicaCommand(app, cmds)
	addClientCommand(app, cmds)
	addCheckCommand(app, cmds)
}

func addReplicaCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("replica", "Run a stand-in replica for rehearsals.")
	name := c.Flag("name", "Name of the replica.").Required().String()
	addr := c.Flag("http", "IP:port to listen on.").Required().String()
	model := c.Flag("model", "Model that the replica serves.").Default("m1").String()
	path := c.Flag("ledger", "File to which a line is written for each run.").String()
	m := replica.DefaultModel()
	c.Flag("room", "Maximum number of concurrent requests.").Default("8").IntVar(&m.Capacity)
	c.Flag("keep", "Size of the prefix cache in tokens.").Default("65536").IntVar(&m.CacheCapacity)
	c.Flag("pieces", "Number of chunks in a response.").Default("24").IntVar(&m.Chunks)
	c.Flag("cold", "How long the replica warms up.").Default("6s").DurationVar(&m.WarmupTime)
	cmds["replica"] = func(io.Reader, io.Writer) error {
		w, err := standin.OpenLedger(*path)
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
			Name: *name, Model: *model, Instance: instance, Engine: m, Ledger: w, Clock: daemon.Clock,
		}).Serve(lis)
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
		<-stop
		t.Kill(nil)
		return t.Wait()
	}
}

func addClientCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("client", "Run stand-in clients for rehearsals.").Alias("agent")
	nodes := c.Flag("node", "HTTP IP:port of a node; can be repeated.").Required().Strings()
	service := c.Flag("offer", "Service to send requests to.").Default("zoning").String()
	classes := c.Flag("kind", "Class of idempotent requests; can be repeated.").Default("counter", "checklist").Strings()
	once := c.Flag("once", "Class of requests that are not idempotent; can be repeated.").Default("dossier").Strings()
	rate := c.Flag("rate", "Requests per second.").Default("20").Float64()
	n := c.Flag("count", "Total number of requests.").Default("200").Int()
	hot := c.Flag("hot", "Fraction of requests with the same hot prefix.").Default("0.1").Float64()
	seed := c.Flag("seed", "Seed of the load.").Default("1").Uint64()
	tag := c.Flag("tag", "Prefix of the request ids; by default the time in seconds, so that each run has new ids.").Default(strconv.FormatInt(time.Now().Unix(), 36)).String()
	path := c.Flag("ledger", "File to which a line is written for each request.").String()
	cmds["client"] = func(_ io.Reader, out io.Writer) error {
		w, err := standin.OpenLedger(*path)
		if err != nil {
			return err
		}
		load := clientLoad(*rate, *hot, *service, *classes, *once)
		enc := json.NewEncoder(w)
		counts := map[string]int{}
		var firstTokenMs []int64
		standin.NewClient(*nodes).Run(context.Background(), workload.NewSource(load, *seed, *tag), *n, func(g ledger.SendResult) {
			_ = enc.Encode(g)
			counts[g.Outcome]++
			if g.Outcome == "done" {
				firstTokenMs = append(firstTokenMs, g.FirstChunkMs)
			}
		})
		slices.Sort(firstTokenMs)
		return printOutcomes(out, counts, firstTokenMs)
	}
}

// clientLoad returns the load of stand-in clients: requests of idempotent classes and of classes that are not idempotent.
func clientLoad(rate, hotRatio float64, service string, idempotent, nonIdempotent []string) workload.Load {
	load := workload.Load{Rate: rate, PrefixesPerClass: 24, HotRatio: hotRatio}
	for _, k := range idempotent {
		load.Classes = append(load.Classes, workload.ClassLoad{Service: service, Name: k, Repeatable: true})
	}
	for _, k := range nonIdempotent {
		load.Classes = append(load.Classes, workload.ClassLoad{Service: service, Name: k})
	}
	return load
}

// printOutcomes prints the number of requests by outcome and percentiles of the time to the first chunk.
func printOutcomes(out io.Writer, counts map[string]int, firstTokenMs []int64) error {
	for _, k := range []string{"done", "denied", "partial", "unknown", "repeat", "bad", "lost"} {
		fmt.Fprintf(out, "%-8s %d\n", k, counts[k])
	}
	if n := len(firstTokenMs); n > 0 {
		fmt.Fprintf(out, "first chunk: median %d ms, 95th percentile %d ms\n", firstTokenMs[n/2], firstTokenMs[n*95/100])
	}
	return nil
}

// BreachError is the error if ledgers show breaches of the rules; N is their number.
type BreachError struct{ N int }

func (e *BreachError) Error() string { return fmt.Sprintf("%d breaches", e.N) }

// printBreaches prints the breaches and then the counts. It returns a *BreachError if there is a breach.
func printBreaches(out io.Writer, counts string, breaches []ledger.Breach) error {
	for _, b := range breaches {
		fmt.Fprintln(out, b)
	}
	fmt.Fprintf(out, "%s%d breaches\n", counts, len(breaches))
	if len(breaches) > 0 {
		return trace.Wrap(&BreachError{N: len(breaches)})
	}
	return nil
}

func addCheckCommand(app *kingpin.Application, cmds map[string]command) {
	c := app.Command("check", "Check the ledgers of stand-in replicas and clients for breaches of the rules.")
	runPattern := c.Flag("ran", "Glob pattern of the replicas' ledgers.").String()
	resultPattern := c.Flag("got", "Glob pattern of the clients' ledgers.").String()
	streamPattern := c.Flag("streams", "Glob pattern of the ledgers of streaming clients.").String()
	cmds["check"] = func(_ io.Reader, out io.Writer) error {
		results, err := readLedgers[ledger.SendResult](*resultPattern)
		if err != nil {
			return err
		}
		runs, err := readLedgers[ledger.RunEvent](*runPattern)
		if err != nil {
			return err
		}
		responses, err := readLedgers[ledger.StreamResponse](*streamPattern)
		if err != nil {
			return err
		}
		if len(results)+len(responses) == 0 {
			return trace.BadParameter("no ledger of a client has a line: check the patterns of --got and --streams")
		}
		counts := fmt.Sprintf("%d runs, %d streams, %d outcomes, ", len(runs), len(responses), len(results))
		return printBreaches(out, counts, append(ledger.Check(runs, results), ledger.CheckStreams(responses)...))
	}
}

// readLedgers reads the JSON lines of all files that match a glob pattern.
func readLedgers[T any](pattern string) ([]T, error) {
	names, err := filepath.Glob(pattern)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var rows []T
	for _, name := range names {
		fileRows, err := readLedger[T](name)
		if err != nil {
			return nil, err
		}
		rows = append(rows, fileRows...)
	}
	return rows, nil
}

// readLedger reads the JSON lines of a file.
func readLedger[T any](name string) ([]T, error) {
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
