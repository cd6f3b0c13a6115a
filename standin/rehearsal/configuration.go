package rehearsal

import (
	"encoding/json"
	"strconv"
	"strings"
)

// hostname is the host that clients send requests to.
const hostname = "streams.example"

// Path prefixes of the routes: streams that may be resumed, streams that may run only once, and responses that are not streams.
const (
	resumablePath = "/streams/"
	oncePath      = "/once/"
	plainPath     = "/plain/"
)

// route returns the JSON of a route. priority and streamResume are JSON values.
func route(name, path, routeType, priority, streamResume string) string {
	return `{"name":"` + name + `","hostname":"` + hostname + `","pathPrefix":"` + path + `","routeType":"` + routeType + `","timeoutMs":20000,"targetLatencyMs":1000,
"priority":` + priority + `,"targetService":"` + serviceName + `","maxAttempts":3,"sessionAffinity":true,"streamResume":` + streamResume + `,"targetGapMs":400}`
}

// commonRoutes returns the routes that all documents contain.
func commonRoutes() []string {
	return []string{
		route("streams", resumablePath, "streaming", "0", "true"), route("once", oncePath, "streaming", "1", "false"), route("plain", plainPath, "safe", "2", "false"),
	}
}

// configuration returns the document of a revision with the common routes and with tenants, if any. Nothing else differs between revisions.
func configuration(revision uint64, tenants []tenantDocument) string {
	return document(revision, tenants, commonRoutes())
}

// document returns the document of a revision with the given tenants and routes.
func document(revision uint64, tenants []tenantDocument, routes []string) string {
	return `{"revision":` + strconv.FormatUint(revision, 10) + tenantsField(tenants) + `,"routes":[` + strings.Join(routes, ",") + `],
"services":[{"name":"` + serviceName + `","healthCheckPath":"/health","maxConnections":400,"protocol":"h1","tlsEnabled":false,"warmupS":0.0,"warmupPerS":0.0,
"engine":{"capacitySlots":64,"kvCacheTokens":729140,"kvTokenBytes":18432,"linkMbps":370000.0,"stride":6,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
}

// tenantDocument is a tenant in the format of the document.
type tenantDocument struct {
	Name           string   `json:"name"`
	Keys           []string `json:"apiKeys"`
	Rate           float64  `json:"ratePerS,omitempty"`
	Burst          float64  `json:"burstSize,omitempty"`
	Unit           string   `json:"billingUnit,omitempty"`
	UncachedTokens float64  `json:"uncachedTokens,omitempty"`
}

// tenantsField returns the tenants field of a document with its leading comma, or an empty string without tenants.
func tenantsField(tenants []tenantDocument) string {
	if len(tenants) == 0 {
		return ""
	}
	// Marshaling strings and finite numbers never fails.
	text, _ := json.Marshal(tenants)
	return `,"tenants":` + string(text)
}
