package rehearsal

import (
	"encoding/json"
	"strconv"
	"strings"
)

// host is the name under which clients ask.
const host = "streams.example"

// The routes begin with these paths: streams that may be resumed, streams that run once, and answers that are no streams.
const (
	resumablePath = "/streams/"
	oncePath      = "/once/"
	plainPath     = "/plain/"
)

func route(name, path, kind, priority, resumes string) string {
	return `{"name":"` + name + `","hostname":"` + host + `","pathPrefix":"` + path + `","routeType":"` + kind + `","timeoutMs":20000,"targetLatencyMs":1000,
"priority":` + priority + `,"targetService":"` + service + `","maxAttempts":3,"sessionAffinity":true,"streamResume":` + resumes + `,"targetGapMs":400}`
}

// usualRoutes are those of all documents.
func usualRoutes() []string {
	return []string{
		route("streams", resumablePath, "streaming", "0", "true"), route("once", oncePath, "streaming", "1", "false"), route("plain", plainPath, "safe", "2", "false"),
	}
}

// configuration is the document of a revision with tenants, if any; the rest is the same in all.
func configuration(revision uint64, tenants []tenantDocument) string {
	return document(revision, tenants, usualRoutes())
}

func document(revision uint64, tenants []tenantDocument, routes []string) string {
	return `{"revision":` + strconv.FormatUint(revision, 10) + tenantsField(tenants) + `,"routes":[` + strings.Join(routes, ",") + `],
"services":[{"name":"` + service + `","healthCheckPath":"/health","maxConnections":400,"protocol":"h1","tlsEnabled":false,"warmupS":0.0,"warmupPerS":0.0,
"engine":{"capacitySlots":64,"kvCacheTokens":729140,"kvTokenBytes":18432,"linkMbps":370000.0,"stride":6,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
}

// tenantDocument is a tenant as the document has it.
type tenantDocument struct {
	Name           string   `json:"name"`
	Keys           []string `json:"apiKeys"`
	Rate           float64  `json:"ratePerS,omitempty"`
	Burst          float64  `json:"burstSize,omitempty"`
	Unit           string   `json:"billingUnit,omitempty"`
	UncachedTokens float64  `json:"uncachedTokens,omitempty"`
}

func tenantsField(tenants []tenantDocument) string {
	if len(tenants) == 0 {
		return ""
	}
	// Strings and numbers always have a JSON form.
	text, _ := json.Marshal(tenants)
	return `,"tenants":` + string(text)
}
