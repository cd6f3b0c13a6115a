package sim

import (
	"math/rand/v2"
	"slices"
)

type DiskError struct{ What string }

func (e *DiskError) Error() (text string) { return "disk: " + e.What }

type file struct {
	kept, now []byte
	named     bool
}

type Disk struct {
	rng     *rand.Rand
	files   map[string]*file
	Full    bool
	BadSync bool
	Writes  int
	CutAt   int
}

func NewDisk(seed uint64) (d *Disk) {
	return &Disk{rng: rand.New(rand.NewPCG(seed, 23)), files: map[string]*file{}, CutAt: -1}
}

func (d *Disk) spent() (err error) {
	d.Writes++
	if d.CutAt >= 0 && d.Writes > d.CutAt {
		return &DiskError{What: "power is gone"}
	}
	if d.Full {
		return &DiskError{What: "no space left"}
	}
	return nil
}

func (d *Disk) Read(name string) (data []byte, found bool, err error) {
	f := d.files[name]
	if f == nil {
		return nil, false, nil
	}
	return slices.Clone(f.now), true, nil
}

func (d *Disk) get(name string) (f *file) {
	if d.files[name] == nil {
		d.files[name] = &file{}
	}
	return d.files[name]
}

func (d *Disk) Write(name string, data []byte) (err error) {
	if err = d.spent(); err != nil {
		return err
	}
	d.get(name).now = slices.Clone(data)
	return nil
}

func (d *Disk) Append(name string, data []byte) (err error) {
	if err = d.spent(); err != nil {
		return err
	}
	f := d.get(name)
	f.now = append(slices.Clone(f.now), data...)
	return nil
}

func (d *Disk) Truncate(name string, size int) (err error) {
	f := d.get(name)
	if len(f.now) > size {
		f.now = slices.Clone(f.now[:size])
	}
	return nil
}

func (d *Disk) Sync(name string) (err error) {
	if err = d.spent(); err != nil {
		return err
	}
	if d.BadSync {
		return &DiskError{What: "sync failed"}
	}
	f := d.get(name)
	f.kept = slices.Clone(f.now)
	return nil
}

func (d *Disk) SyncFolder() (err error) {
	if err = d.spent(); err != nil {
		return err
	}
	for _, f := range d.files {
		f.named = true
	}
	return nil
}

func (d *Disk) PowerCut() {
	for _, name := range sortedKeys(d.files) {
		f := d.files[name]
		if !f.named && d.rng.IntN(2) == 0 {
			delete(d.files, name)
			continue
		}
		f.now = d.torn(f.kept, f.now)
		f.kept, f.named = slices.Clone(f.now), true
	}
	d.CutAt, d.Full, d.BadSync = -1, false, false
}

func (d *Disk) torn(kept, now []byte) (left []byte) {
	if slices.Equal(kept, now) {
		return kept
	}
	same := 0
	for same < min(len(kept), len(now)) && kept[same] == now[same] {
		same++
	}
	switch d.rng.IntN(3) {
	case 0:
		return kept
	case 1:
		return slices.Clone(now[:same+d.rng.IntN(len(now)-same+1)])
	}
	left = slices.Clone(now)
	for i := same; i < len(left); i++ {
		if d.rng.IntN(4) == 0 {
			left[i] = 0
		}
	}
	return left
}

// Copy is what a power cut would leave at best: all that was synced.
func (d *Disk) Copy() (files map[string]*file) {
	files = map[string]*file{}
	for name, f := range d.files {
		if f.named {
			files[name] = &file{kept: slices.Clone(f.kept), now: slices.Clone(f.kept), named: true}
		}
	}
	return files
}

// Restore puts an earlier copy in place of what is there.
func (d *Disk) Restore(files map[string]*file) { d.files = files }

func (d *Disk) Wipe() { d.files = map[string]*file{} }

func (d *Disk) Rot(name string, at int) (ok bool) {
	f := d.files[name]
	if f == nil || at >= len(f.now) {
		return false
	}
	f.now = slices.Clone(f.now)
	f.now[at] ^= 0x40
	f.kept = slices.Clone(f.now)
	return true
}

func (d *Disk) Size(name string) (n int) {
	if d.files[name] == nil {
		return 0
	}
	return len(d.files[name].now)
}
