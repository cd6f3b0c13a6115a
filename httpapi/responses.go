package httpapi

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/mallowbridge/mallowbridge/config"
	"github.com/mallowbridge/mallowbridge/control"
	"github.com/mallowbridge/mallowbridge/register"
)

// ConfigurationResponse is the response to an operator's call that succeeded. The JSON names are part of the public interface.
type ConfigurationResponse struct {
	// Version is the version that the call created or read, LatestVersion the latest one. The other fields describe the latest version.
	Version       uint64 `json:"mark"`
	LatestVersion uint64 `json:"now"`
	// Evacuated contains the evacuated zones.
	Evacuated []string         `json:"emptied"`
	Voters    []register.Voter `json:"voters"`
	Config    json.RawMessage  `json:"config,omitempty"`
}

// OperatorErrorResponse is the response to an operator's call that failed. The JSON names are part of the public interface.
type OperatorErrorResponse struct {
	Error string `json:"error"`
	// Effect is "unchanged", or "unknown" if the change may have taken effect or may still do so.
	Effect string `json:"fate"`
	// Version is the current version if the call expected another one.
	Version    *uint64            `json:"mark,omitempty"`
	Violations []config.Violation `json:"flaws,omitempty"`
}

// acceptedResponse contains the number of replicas whose state was set.
type acceptedResponse struct {
	Accepted string `json:"taken"`
}

func respondJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
	return nil
}

// respondFailure sends the response to a call that failed. The type of the error determines the status.
func respondFailure(w http.ResponseWriter, err error) error {
	var invalid *config.InvalidError
	var conflict *register.ConflictError
	var unknown *register.OutcomeUnknownError
	var baseTooOld *register.BaseTooOldError
	var scopeConflict *register.ScopeConflictError
	var noQuorum *register.NoQuorumError
	var notBootstrapped *register.NotBootstrappedError
	var stale *control.StaleRequestError
	var disconnected *control.ClientDisconnectedError
	var name *control.NameError
	var tooLarge *http.MaxBytesError
	response := OperatorErrorResponse{Error: err.Error(), Effect: "unchanged"}
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &invalid):
		status, response.Violations, response.Error = http.StatusUnprocessableEntity, invalid.Violations, "configuration is invalid"
	case errors.As(err, &conflict):
		status, response.Version = http.StatusConflict, &conflict.Version
	case errors.As(err, &unknown), errors.As(err, &baseTooOld):
		status, response.Effect = http.StatusGatewayTimeout, "unknown"
	case errors.As(err, &noQuorum), errors.As(err, &notBootstrapped), errors.As(err, &scopeConflict), errors.As(err, &stale), errors.As(err, &disconnected):
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", "2")
	case errors.As(err, &name):
		status = http.StatusUnprocessableEntity
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	}
	return respondJSON(w, status, response)
}

// violation returns the error for a header or query parameter whose value does not meet a requirement.
func violation(path, value, requirement string) error {
	return &config.InvalidError{Violations: []config.Violation{{Path: path, Value: value, Requirement: requirement}}}
}

// respondAnswer sends the result of a call that returned, which may be an error.
func (*Operations) respondAnswer(w http.ResponseWriter, a control.Answer) error {
	if a.Err != nil {
		return respondFailure(w, a.Err)
	}
	v := a.Value
	return respondJSON(w, http.StatusOK, ConfigurationResponse{Version: a.Version, LatestVersion: v.Version, Evacuated: append([]string{}, v.EvacuatedZones...), Voters: v.Voters, Config: v.Document})
}
