package router

// Rows returns the number of rows for replicas, used or not.
func (r *Router) Rows() int { return len(r.scheduler.Replicas) }

// Kinds returns the number of rows for request classes, used or not, of the service that has the most.
func (r *Router) Kinds() int {
	var n int
	for _, o := range r.scheduler.Services {
		n = max(n, len(o.Classes))
	}
	return n
}
