package config

import (
	"bytes"
	"time"
)

// CachingReader reads successive documents in the product's own format and parses only the services that changed since the previous
// document. It is not safe for concurrent use.
type CachingReader struct{ cache SplitCache }

// Fields of a document.
const (
	servicesField     = "offers"
	replaceVoterField = "replaceLostVoterMs"
)

// Read returns the same configuration or error as the function Read.
func (r *CachingReader) Read(raw []byte) (Config, error) {
	if len(raw) <= MaxDocumentBytes {
		if c, ok := r.readIncremental(raw); ok {
			return c, nil
		}
	}
	return Read(raw)
}

// readIncremental reads a valid document. It returns false for any other, whose violations only Read can list.
func (r *CachingReader) readIncremental(raw []byte) (Config, bool) {
	doc, ok := r.cache.Split(raw)
	var c Config
	if !ok {
		return c, false
	}
	for _, f := range doc.Fields {
		switch {
		case f.Name == replaceVoterField:
			c.ReplaceVoterAfter, ok = parseReplaceVoter(f.Value)
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

// parseReplaceVoter parses the value of replaceVoterField. It returns false if the value is invalid.
func parseReplaceVoter(value []byte) (time.Duration, bool) {
	object := bytes.Join([][]byte{[]byte(`{"` + replaceVoterField + `":`), value, []byte(`}`)}, nil)
	d, err := NewDecoder(object)
	if err != nil {
		return 0, false
	}
	timeout := readReplaceVoter(d)
	return timeout, d.Err() == nil
}

// readServices returns the services of the items and parses those that were not parsed before. It returns false if one is invalid, or if
// two services or two replicas have the same name.
func readServices(items []*ListItem) ([]Service, bool) {
	if len(items) > maxServices {
		return nil, false
	}
	names, replicas := map[string]bool{}, map[string]bool{}
	var all []Service
	for _, it := range items {
		service, valid := it.readService()
		if !valid || !addNew(names, service.Name) {
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

// readService returns the item's service and parses it if it was not parsed before. It returns false if the service is invalid.
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

// addNew adds a name to a set and reports whether it was new.
func addNew(names map[string]bool, name string) bool {
	if names[name] {
		return false
	}
	names[name] = true
	return true
}
