package config

import (
	"bytes"
	"time"
)

// Documents reads documents of the product's own format that are mostly like the one before: only offers that differ are read. It has
// one owner.
type Documents struct{ cache SplitCache }

const (
	servicesField = "offers"
	replaceField  = "replaceLostVoterMs"
)

// Read is Read; what it finds is the same.
func (d *Documents) Read(raw []byte) (Config, error) {
	if len(raw) <= MaxBytes {
		if c, ok := d.quick(raw); ok {
			return c, nil
		}
	}
	return Read(raw)
}

// quick reads a sound document, and gives up on any other.
func (d *Documents) quick(raw []byte) (Config, bool) {
	split, ok := d.cache.Split(raw)
	var c Config
	if !ok {
		return c, false
	}
	for _, f := range split.Fields {
		switch {
		case f.Name == replaceField:
			c.ReplaceVoter, ok = replaceVoter(f.Value)
		case f.Name == servicesField && f.List:
			c.Services, ok = offers(f.Items)
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
	d, err := Open(small)
	if err != nil {
		return 0, false
	}
	patience := readReplaceVoter(d)
	return patience, d.Err() == nil
}

// offers reads those that are new, and looks for names that occur twice in all.
func offers(items []*Item) ([]Service, bool) {
	if len(items) > maxServices {
		return nil, false
	}
	names, replicas := map[string]bool{}, map[string]bool{}
	var all []Service
	for _, it := range items {
		if it.Service == nil {
			d, err := Open(it.Raw)
			if err != nil {
				return nil, false
			}
			service := readService(d, map[string]bool{}, map[string]bool{})
			if d.Err() != nil {
				return nil, false
			}
			it.Service = &service
		}
		if names[it.Service.Name] {
			return nil, false
		}
		names[it.Service.Name] = true
		for i := range it.Service.Replicas {
			name := it.Service.Replicas[i].Name
			if replicas[name] {
				return nil, false
			}
			replicas[name] = true
		}
		all = append(all, *it.Service)
	}
	return all, true
}
