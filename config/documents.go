package config

import (
	"bytes"
	"time"
)

// Documents reads documents of the product's own format that are mostly like the one before: only offers that differ are read. It has
// one owner.
type Documents struct{ memo Memo }

const (
	offersField  = "offers"
	replaceField = "replaceLostVoterMs"
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
	split, ok := d.memo.Split(raw)
	var c Config
	if !ok {
		return c, false
	}
	for _, f := range split.Fields {
		switch {
		case f.Name == replaceField:
			c.ReplaceVoter, ok = replaceVoter(f.Value)
		case f.Name == offersField && f.List:
			c.Offers, ok = offers(f.Items)
		default:
			ok = false
		}
		if !ok {
			return Config{}, false
		}
	}
	return c, len(c.Offers) > 0
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
func offers(items []*Item) ([]Offer, bool) {
	if len(items) > maxOffers {
		return nil, false
	}
	names, replicas := map[string]bool{}, map[string]bool{}
	var all []Offer
	for _, it := range items {
		if it.Offer == nil {
			d, err := Open(it.Raw)
			if err != nil {
				return nil, false
			}
			o := readOffer(d, map[string]bool{}, map[string]bool{})
			if d.Err() != nil {
				return nil, false
			}
			it.Offer = &o
		}
		if names[it.Offer.Name] {
			return nil, false
		}
		names[it.Offer.Name] = true
		for i := range it.Offer.Replicas {
			name := it.Offer.Replicas[i].Name
			if replicas[name] {
				return nil, false
			}
			replicas[name] = true
		}
		all = append(all, *it.Offer)
	}
	return all, true
}
