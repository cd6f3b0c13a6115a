package control_test

import (
	"bytes"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/lease"
	"github.com/mallowbridge/mallowbridge/membership"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/router"
	"github.com/mallowbridge/mallowbridge/transport"
)

// The files under testdata/format were written by the build fccf204. They are frozen: a build that fails to read one of them, or writes
// other field names, can't run in one fleet with that build. -write-format writes files that are missing, for messages that are new.
var writeFormat = flag.Bool("write-format", false, "write the files of the format that are missing")

const formatFolder = "testdata/format"

// notSent is the type of a snapshot's tenants, which no message contains (config.EncodeSnapshot).
var notSent = reflect.TypeFor[[]config.Tenant]()

// filler sets each exported field of a value to a different value, in the order of declaration.
type filler struct{ n int }

func (f *filler) next() int {
	f.n++
	return f.n
}

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint("s", f.next()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(elem)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, elem)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() && v.Field(i).Kind() != reflect.Interface && v.Field(i).Type() != notSent {
				f.fill(v.Field(i))
			}
		}
	}
}

func filled[T any]() T {
	var v T
	(&filler{}).fill(reflect.ValueOf(&v).Elem())
	return v
}

// item returns a gossip update that contains one item with the data.
func item(data any) gossip.Update {
	u := filled[gossip.Update]()
	u.Items = u.Items[:1]
	u.Items[0].Data = data
	return u
}

func event(e router.Event) router.NumberedEvent {
	return router.NumberedEvent{Seq: 1, Event: e}
}

// formatMessages returns all messages between nodes and to followers, by the name of their file.
func formatMessages() map[string]any {
	member, load, value := filled[membership.Member](), filled[control.LoadReports](), filled[*register.Value]()
	load.Urgent = true
	snapshot := filled[*config.Snapshot]()
	for i := range snapshot.Config.Routes {
		snapshot.Config.Routes[i].Public = false
	}
	return map[string]any{
		"register-prepare": filled[register.Prepare](), "register-promise": filled[register.Promise](),
		"register-accept": filled[register.Accept](), "register-accepted": filled[register.Accepted](),
		"lease-request": filled[lease.Request](), "lease-grant": filled[lease.Grant](), "lease-release": filled[lease.Release](),
		"membership-ping": filled[membership.Ping](), "membership-ack": filled[membership.Ack](), "membership-pingfor": filled[membership.PingFor](),
		"gossip-value": item(value), "gossip-member": item(member), "gossip-loads": item(load),
		"gossip-replicastate": item(filled[control.ReplicaState]()), "gossip-replicalistitem": item(filled[control.ReplicaListItem]()),
		"gossip-listconfirmation": item(filled[control.ListConfirmation]()), "gossip-prefills": item(filled[control.Prefills]()),
		"gossip-failures": item(filled[control.Failures]()), "gossip-tenantusage": item(filled[control.TenantUsage]()),
		"gossip-checksum": filled[gossip.Checksum](), "gossip-digest": filled[gossip.Digest](), "gossip-pull": filled[gossip.Pull](),
		"gossip-announcement": filled[gossip.Announcement](),
		"chunk-pull":          filled[control.ChunkPull](), "chunk-data": filled[control.ChunkData](),
		"witness-ask": filled[control.WitnessQuery](), "witness-say": filled[control.WitnessReply](), "witness-forget": filled[control.WitnessForget](),
		"quota-ask": filled[control.QuotaAsk](), "quota-answer": filled[control.QuotaAnswer](),
		"event-welcome": filled[router.Welcome](), "event-snapshot": event(router.SnapshotUpdate{Snapshot: snapshot}),
		"event-routers": event(filled[router.Routers]()), "event-loadreport": event(filled[router.LoadReport]()),
		"event-listing": event(filled[router.Listing]()), "event-feed": event(filled[router.ControlStatus]()),
		"event-suspect": event(filled[router.ReplicaSuspect]()), "event-replicalist": event(filled[router.ReplicaList]()),
		"event-failures": event(filled[router.Failures]()),
		"hello":          filled[transport.Hello](),
	}
}

// formatFile reads a frozen file. If it is missing and -write-format is set, it writes the file with what the present build produces.
func formatFile(t *testing.T, name string, present []byte) []byte {
	t.Helper()
	path := filepath.Join(formatFolder, name)
	raw, err := os.ReadFile(path)
	if os.IsNotExist(err) && *writeFormat {
		raw, err = present, os.WriteFile(path, present, 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func frame(t *testing.T, msg any) []byte {
	t.Helper()
	raw, err := transport.NewWriter().Frame(msg)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func readFrame(t *testing.T, raw []byte) any {
	t.Helper()
	msg, err := transport.NewReader(bytes.NewReader(raw)).Next()
	if err != nil {
		t.Fatal(err)
	}
	return msg
}

// TestFormerBuildsMessagesAreRead reads each message as the former build wrote it, and compares every field.
func TestFormerBuildsMessagesAreRead(t *testing.T) {
	for name, msg := range formatMessages() {
		t.Run(name, func(t *testing.T) {
			got, want := readFrame(t, formatFile(t, name+".frame", frame(t, msg))), withoutAdded(name, msg)
			if !reflect.DeepEqual(got, want) {
				t.Errorf("read\n%+v, want\n%+v", got, want)
			}
		})
	}
}

// TestFormerBuildReadsOurMessages compares the field names and types in a frame with those that the former build wrote, because that build
// finds a message's fields by their names.
func TestFormerBuildReadsOurMessages(t *testing.T) {
	for name, msg := range formatMessages() {
		t.Run(name, func(t *testing.T) {
			ours := frame(t, msg)
			got, want := formerSchema(name, schema(t, ours[4:])), schema(t, formatFile(t, name+".frame", ours)[4:])
			if !slices.Equal(got, want) {
				t.Errorf("written\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
			}
			if !reflect.DeepEqual(readFrame(t, ours), msg) {
				t.Error("a message differs after it was encoded and decoded")
			}
		})
	}
}

// TestEveryFormatFileIsTested finds files that belong to no message any more.
func TestEveryFormatFileIsTested(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(formatFolder, "*.frame"))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, f := range files {
		names = append(names, strings.TrimSuffix(filepath.Base(f), ".frame"))
	}
	if want := slices.Sorted(maps.Keys(formatMessages())); !slices.Equal(names, want) {
		t.Errorf("files for %v, messages %v", names, want)
	}
}

// BenchmarkFrame encodes and decodes a promise with a large value, the most expensive message of a fleet without load, on one connection.
func BenchmarkFrame(b *testing.B) {
	msg := filled[register.Promise]()
	msg.Value.Document = bytes.Repeat([]byte("x"), 4000)
	benchmarkFrames(b, msg)
}

// BenchmarkFrameLoads does the same for the most frequent gossip item.
func BenchmarkFrameLoads(b *testing.B) {
	loads := filled[control.LoadReports]()
	row := loads.Rows[0]
	row.Lag = time.Second
	loads.Rows = slices.Repeat([]router.LoadReport{row}, 50)
	benchmarkFrames(b, item(loads))
}

func benchmarkFrames(b *testing.B, msg any) {
	var pipe bytes.Buffer
	w, r := transport.NewWriter(), transport.NewReader(&pipe)
	b.ReportAllocs()
	for b.Loop() {
		raw, err := w.Frame(msg)
		if err != nil {
			b.Fatal(err)
		}
		pipe.Write(raw)
		if _, err = r.Next(); err != nil {
			b.Fatal(err)
		}
	}
}
