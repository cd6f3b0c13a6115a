package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run, each line with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// The exit codes of a script.
const (
	held      = 0
	broken    = 1
	couldntGo = 2
)

// scenario plays one case and returns an exit code and the reason for it.
type scenario func(env environment) (int, string)

type environment struct {
	dir, binary, cloud string
	trouble            bool
	rec                *recorder
}

var scenarios = map[string]scenario{}

// startCloud stands in for the platform's list, which is empty: none of these cases needs replicas.
func startCloud() (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{"instances":[],"nextPageToken":null}`))
	})
	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}).Serve(lis) }()
	return lis.Addr().String(), nil
}

func run() (int, string) {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		return couldntGo, "usage: standin2 SCENARIO PROGRAM RECORD"
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		return couldntGo, err.Error()
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		return couldntGo, err.Error()
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return couldntGo, err.Error()
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	cloud, err := startCloud()
	if err != nil {
		return couldntGo, err.Error()
	}
	rec := &recorder{file: file, begun: time.Now()}
	code, why := scenarios[os.Args[1]](environment{dir: dir, binary: binary, cloud: cloud, trouble: os.Getenv("TROUBLE") != "0", rec: rec})
	rec.note("exit %d: %s", code, why)
	return code, why
}

// endOnSignal ends all processes of a script that is told to end itself.
func endOnSignal(f *fleet) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		for _, m := range f.machines {
			if p := m.process; p != nil {
				_ = p.Process.Kill()
			}
		}
		os.Exit(couldntGo)
	}()
}

func main() {
	code, why := run()
	fmt.Println(why)
	os.Exit(code)
}
