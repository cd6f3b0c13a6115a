package config

import (
	"fmt"
	"net/netip"
	"time"
)

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = 1 << 20

// Limits on the parts of a document.
const (
	maxNameBytes = 64
	maxServices  = 256
	maxReplicas  = 4096
	maxClasses   = 64
)

// readMillis reads a whole number of milliseconds between least and most.
func readMillis(d *Decoder, key string, def, least, most int) time.Duration {
	return time.Duration(d.Int(key, def, least, most)) * time.Millisecond
}

// Read reads and validates a document in the product's own JSON format. Its errors are *InvalidError: if the document is a
// JSON object, they list all violations.
func Read(raw []byte) (Config, error) {
	var c Config
	if len(raw) > MaxDocumentBytes {
		return c, newInvalidError("$", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxDocumentBytes))
	}
	d, err := NewDecoder(raw)
	if err != nil {
		return c, err
	}
	c.ReplaceVoterAfter = readReplaceVoter(d)
	services, replicas := map[string]bool{}, map[string]bool{}
	for _, s := range d.List(servicesField, 1, maxServices) {
		c.Services = append(c.Services, readService(s, services, replicas))
	}
	d.Close()
	if err = d.Err(); err != nil {
		return Config{}, err
	}
	return c, nil
}

func readReplaceVoter(d *Decoder) time.Duration {
	return readMillis(d, replaceVoterField, 0, 0, 86400000)
}

// readService reads a service. services and replicas are the names that were read before.
func readService(d *Decoder, services, replicas map[string]bool) Service {
	var service Service
	service.Name = readUniqueName(d, "name", services)
	service.Model = d.String("model", true, maxNameBytes)
	for _, r := range d.List("replicas", 1, maxReplicas) {
		service.Replicas = append(service.Replicas, readReplica(r, replicas))
	}
	classes := map[string]bool{}
	for _, c := range d.List("kinds", 1, maxClasses) {
		service.Classes = append(service.Classes, readRequestClass(c, classes))
	}
	readWarmUp(d.Object("cold"), &service)
	readRetries(d.Object("secondGo"), &service)
	readEstimate(d.Object("estimate"), &service)
	service.MaxPredictionTTL = readMillis(d, "staleCapMs", 2000, 100, 2000)
	service.PrefixCacheTokens = d.Int("keepTokens", 65536, 0, 1<<30)
	service.CrossZoneCost = d.Number("crossCost", 0.2, 0, 100)
	d.Close()
	return service
}

func readWarmUp(d *Decoder, service *Service) {
	service.WarmupCapacity = d.Int("startRoom", 1, 1, 1024)
	service.SlowStart = readMillis(d, "rampMs", 6000, 0, 600000)
	d.Close()
}

func readRetries(d *Decoder, service *Service) {
	service.RetryRatio = d.Number("share", 0.2, 0, 0.2)
	service.RetryAllowance = d.Int("allowance", 24, 0, 48)
	d.Close()
}

func readEstimate(d *Decoder, service *Service) {
	service.BaseLatency = readMillis(d, "baseMs", 60, 0, 60000)
	service.LatencyPerToken = time.Duration(d.Int("perTokenUs", 200, 0, 1000000)) * time.Microsecond
	d.Close()
}

// readUniqueName reads a name that must not occur in seen, and adds it to seen.
func readUniqueName(d *Decoder, key string, seen map[string]bool) string {
	name := d.String(key, true, maxNameBytes)
	if name != "" && seen[name] {
		d.AddViolation(d.FieldPath(key), name, "named once")
	}
	seen[name] = true
	return name
}

func readReplica(d *Decoder, seen map[string]bool) Replica {
	var r Replica
	r.Name = readUniqueName(d, "name", seen)
	r.Addr = d.String("addr", true, maxNameBytes)
	if _, err := netip.ParseAddrPort(r.Addr); err != nil && r.Addr != "" {
		d.AddViolation(d.FieldPath("addr"), r.Addr, "an IP number and port")
	}
	r.Zone = d.String("domain", true, maxNameBytes)
	r.Capacity = d.Int("room", 8, 1, 4096)
	r.Role = d.String("role", false, maxNameBytes)
	switch r.Role {
	case "":
		r.Role = "both"
	case "both", "prefill", "decode":
	default:
		d.AddViolation(d.FieldPath("role"), r.Role, "both, prefill or decode")
	}
	d.Close()
	return r
}

func readRequestClass(d *Decoder, seen map[string]bool) RequestClass {
	var class RequestClass
	class.Name = readUniqueName(d, "name", seen)
	class.Value = d.Number("value", 1, 0.001, 1e6)
	class.Urgency = d.Number("urgency", 1, 0.001, 1e3)
	class.FirstTokenTarget = readMillis(d, "firstTokenMs", 2000, 10, 600000)
	class.Idempotent = d.Bool("repeatable", false)
	d.Close()
	return class
}
