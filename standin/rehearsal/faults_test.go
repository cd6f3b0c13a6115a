package rehearsal

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/mallowbridge/mallowbridge/ledger"
)

// startScript starts the first node of a fleet whose program is a shell script.
func startScript(t *testing.T, script string) *Fleet {
	dir := t.TempDir()
	binary := filepath.Join(dir, "program")
	if err := os.WriteFile(binary, []byte("#!/bin/sh\n"+script+"\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	f, err := NewFleet(dir, binary, "127.0.0.1:1", voterCount)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.Start(0); err != nil {
		t.Fatal(err)
	}
	return f
}

// TestUnaskedExitIsABreach guards against a node that is gone without a fault, which would make the next fault one too many.
func TestUnaskedExitIsABreach(t *testing.T) {
	f := startScript(t, "kill -KILL $$")
	<-f.nodes[0].exited
	found := f.exits.breaches()
	if len(found) != 1 || found[0].Kind != ledger.NodeExited || found[0].Request != "n1" || found[0].Detail != "signal: killed" {
		t.Errorf("found %v, want that n1 was killed", found)
	}
}

func TestKilledNodeIsNoBreach(t *testing.T) {
	f := startScript(t, "exec sleep 60")
	f.SignalAndWait(0, syscall.SIGKILL)
	if found := f.exits.breaches(); len(found) != 0 {
		t.Errorf("found %v, want nothing", found)
	}
}

// TestFirstFaultsHaveEachKind guards against a short run without a kind of fault.
func TestFirstFaultsHaveEachKind(t *testing.T) {
	fi := &faultInjector{rng: rand.New(rand.NewPCG(1, 1))}
	fi.openWithAllKinds()
	seen := map[faultKind]bool{}
	for range faultKinds {
		seen[fi.nextKind()] = true
	}
	if len(seen) != int(faultKinds) {
		t.Errorf("the first %d faults have %d kinds", faultKinds, len(seen))
	}
}
