package control

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/mallowbridge/mallowbridge/gossip"
	"github.com/mallowbridge/mallowbridge/register"
	"github.com/mallowbridge/mallowbridge/transport"
)

// memoryDisk is a storage.Disk in memory.
type memoryDisk struct{ files map[string][]byte }

func (m *memoryDisk) Read(name string) ([]byte, bool, error) {
	data, stored := m.files[name]
	return slices.Clone(data), stored, nil
}

func (m *memoryDisk) Write(name string, data []byte) error {
	m.files[name] = slices.Clone(data)
	return nil
}

func (m *memoryDisk) Append(name string, data []byte) error {
	m.files[name] = append(m.files[name], data...)
	return nil
}

func (m *memoryDisk) Truncate(name string, size int) error {
	m.files[name] = m.files[name][:min(size, len(m.files[name]))]
	return nil
}

func (*memoryDisk) Sync(string) error { return nil }
func (*memoryDisk) SyncFolder() error { return nil }

func (m *memoryDisk) size() int {
	var bytes int
	for _, data := range m.files {
		bytes += len(data)
	}
	return bytes
}

// open reads a node's state from its journal, in a lab with journals.
func (l *lab) open(name string, cfg *Config) {
	if l.journals == nil {
		return
	}
	id := l.disks[name]
	if l.folders[id] == nil {
		l.folders[id] = &memoryDisk{files: map[string][]byte{}}
	}
	k, err := OpenJournal(l.folders[id], id)
	if err != nil {
		l.t.Fatalf("%s cannot start: %v", name, err)
	}
	l.journals[name] = k
	kept := k.State()
	cfg.Disk = &kept
}

func (l *lab) save(name string, ws []LogWrite) {
	if k := l.journals[name]; k != nil {
		if err := k.Append(ws); err != nil {
			l.t.Fatal(err)
		}
	}
}

// buildOf returns the build that a node reports when it connects.
func (l *lab) buildOf(name string) uint32 {
	if build := l.builds[name]; build > 0 {
		return build
	}
	return transport.Build
}

// newDiskLab returns a lab whose disks are journals.
func newDiskLab(t *testing.T, size int) *lab {
	l := newLab(t, 0)
	l.journals, l.folders = map[string]*Journal{}, map[string]*memoryDisk{}
	for i := range size {
		name := fmt.Sprint("n", i)
		l.order = append(l.order, name)
		if i < 4 {
			l.disks[name] = "disk-" + name
		}
	}
	for _, name := range l.order {
		l.boot(name, true)
	}
	return l
}

// document returns a document of 2,500 routes of 240 bytes. The route with index changed differs in each revision.
func document(revision, changed int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"revision":%d,"routes":[`, revision)
	for i := range 2500 {
		timeout := 1000
		if i == changed {
			timeout = 2000 + revision
		}
		fmt.Fprintf(&b, `{"name":"route-%06d","hostname":"site.example","pathPrefix":"/area/%d/part/%d/of/many/","routeType":"safe","timeoutMs":%d,"targetLatencyMs":300,"priority":1,"maxAttempts":2,"trafficSplit":[{"targetService":"service-%d","weight":1}]},`,
			i, i%37, i*7919, timeout, i%5)
	}
	b.WriteString(`{}]}`)
	return b.Bytes()
}

func (l *lab) put(at string, raw []byte) Answer {
	l.ids++
	return l.call(at, Edit{ID: fmt.Sprint("put", l.ids), BaseRevision: l.ids, Apply: func([]byte) ([]byte, error) { return raw, nil }})
}

// meter counts the bytes of messages that carry configuration, as framed by the transport, by the zones of sender and receiver.
type meter struct {
	l       *lab
	writers map[[2]string]*transport.Writer
	zones   map[[2]string]int
	kinds   map[string]int
}

func (l *lab) meter() *meter {
	m := &meter{l: l, writers: map[[2]string]*transport.Writer{}}
	m.reset()
	l.sent = m.sent
	return m
}

func (m *meter) reset() { m.zones, m.kinds = map[[2]string]int{}, map[string]int{} }

func (m *meter) sent(from, to string, msg any) bool {
	if !carriesConfiguration(msg) || m.l.nodes[to] == nil {
		return false
	}
	w := m.writers[[2]string{from, to}]
	if w == nil {
		w = transport.NewWriter()
		m.writers[[2]string{from, to}] = w
	}
	frame, err := w.Frame(msg)
	if err != nil {
		m.l.t.Fatal(err)
	}
	m.zones[[2]string{m.l.nodes[from].config.Zone, m.l.nodes[to].config.Zone}] += len(frame)
	m.kinds[fmt.Sprintf("%T", msg)] += len(frame)
	return false
}

func carriesConfiguration(msg any) bool {
	switch m := msg.(type) {
	case register.Prepare, register.Promise, register.Accept, register.Accepted, gossip.Announcement, gossip.Pull, ChunkPull, ChunkData:
		return true
	case gossip.Update:
		return slices.ContainsFunc(m.Items, func(it gossip.Item) bool { _, is := it.Data.(*register.Value); return is })
	}
	return false
}

// into returns how many bytes a zone received from the others.
func (m *meter) into(zone string) int {
	var bytes int
	for between, n := range m.zones {
		if between[1] == zone && between[0] != zone {
			bytes += n
		}
	}
	return bytes
}

// untilApplied runs until all running nodes have applied the document and returns the time that took.
func (l *lab) untilApplied(raw []byte, within time.Duration) time.Duration {
	l.t.Helper()
	from := l.now
	for l.now < from+within {
		behind := slices.ContainsFunc(l.order, func(name string) bool { return !l.down[name] && !l.applied(name, raw) })
		if !behind {
			return l.now - from
		}
		l.run(5 * time.Millisecond)
	}
	for _, name := range l.order {
		if !l.down[name] && !l.applied(name, raw) {
			l.t.Errorf("%s has not applied the document after %v", name, within)
		}
	}
	return within
}

func (l *lab) applied(name string, raw []byte) bool {
	n := l.nodes[name]
	return n.value != nil && bytes.Equal(n.value.Document, raw) && n.applied == n.value.Version
}
