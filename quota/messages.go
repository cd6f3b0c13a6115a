package quota

import "time"

// Request is a tenant's request and its cost. Its router chooses the ID.
type Request struct {
	ID     uint64
	Tenant string
	Cost   float64
}

// Outcome is the result of a Request. A granted request may be sent until Until. Unanswered means that it was refused
// because owners did not respond. The client may retry after RetryAfter; no other request of the tenant is granted
// before EmptyFor has passed.
type Outcome struct {
	ID                   uint64
	Granted              bool
	Until                time.Duration
	Unanswered           bool
	RetryAfter, EmptyFor time.Duration
}

// GrantRequest is a message to the owner at the address To.
type GrantRequest struct {
	To     string
	ID     uint64
	Tenant string
	Cost   float64
}

// GrantResponse is an owner's response to the GrantRequest with the same ID.
type GrantResponse struct {
	ID    uint64
	Grant Grant
}
