package rehearsal

import "strconv"

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

// configuration is the document of a revision; they differ in nothing else.
func configuration(revision uint64) string {
	routes := route("streams", resumablePath, "streaming", "0", "true") + "," + route("once", oncePath, "streaming", "1", "false") + "," +
		route("plain", plainPath, "safe", "2", "false")
	return `{"revision":` + strconv.FormatUint(revision, 10) + `,"routes":[` + routes + `],
"services":[{"name":"` + service + `","healthCheckPath":"/health","maxConnections":400,"protocol":"h1","tlsEnabled":false,"warmupS":0.0,"warmupPerS":0.0,
"engine":{"capacitySlots":64,"kvCacheTokens":729140,"kvTokenBytes":18432,"linkMbps":370000.0,"stride":6,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`
}
