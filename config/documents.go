package config

import (
	"bytes"
	"time"
)

// CachingReader reads documents of the product's own format that are mostly like the one before: only offers that differ are read. It has
// one owner.
type CachingReader struct{ cache SplitCache }

const (
	servicesField = "offers"
	replaceField  = "replaceLostVoterMs"
)

// Read is Read; what it finds is the same.
func (d *CachingReader) Read(raw []byte) (Config, error) {
	if len(raw) <= MaxDocumentBytes {
		if c, ok := d.quick(raw); ok {
			return c, nil
		}
	}
	return Read(raw)
}

// quick reads a sound document, and gives up on any other.
func (d *CachingReader) quick(raw []byte) (Config, bool) {
	split, ok := d.cache.Split(raw)
	var c Config
	if !ok {
		return c, false
	}
	for _, f := range split.Fields {
		switch {
		case f.Name == replaceField:
			c.ReplaceVoterAfter, ok = replaceVoter(f.Value)
		case f.Name == servicesField && f.List:
			c.Services, ok = readServices(f.Items)
		default:
			ok = false
		}
		if !ok {
			return Config{}, false
		}
	}
	return c, len(c.Services) > 0
}

func replaceVoter(value []byte) (time.Duration, bool) {
	small := bytes.Join([][]byte{[]byte(`{"` + replaceField + `":`), value, []byte(`}`)}, nil)
	d, err := NewDecoder(small)
	if err != nil {
		return 0, false
	}
	timeout := readReplaceVoter(d)
	return timeout, d.Err() == nil
}

// readServices reads the services that are new, and looks for names that occur twice among all.
func readServices(items []*ListItem) ([]Service, bool) {
	if len(items) > maxServices {
		return nil, false
	}
	names, replicas := map[string]bool{}, map[string]bool{}
	var all []Service
	for _, it := range items {
		service, good := it.readService()
		if !good || !addNew(names, service.Name) {
			return nil, false
		}
		for i := range service.Replicas {
			if !addNew(replicas, service.Replicas[i].Name) {
				return nil, false
			}
		}
		all = append(all, *service)
	}
	return all, true
}

// readService reads the item's service unless it was read before; false where it is invalid.
func (it *ListItem) readService() (*Service, bool) {
	if it.Service != nil {
		return it.Service, true
	}
	d, err := NewDecoder(it.Raw)
	if err != nil {
		return nil, false
	}
	service := readService(d, map[string]bool{}, map[string]bool{})
	if d.Err() != nil {
		return nil, false
	}
	it.Service = &service
	return it.Service, true
}

// addNew adds a name to a set; false where it was there.
func addNew(names map[string]bool, name string) bool {
	if names[name] {
		return false
	}
	names[name] = true
	return true
}
