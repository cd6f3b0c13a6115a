package router

func (r *Router) Rows() int { return len(r.scheduler.Replicas) }

func (r *Router) Kinds() int {
	var n int
	for _, o := range r.scheduler.Services {
		n = max(n, len(o.Classes))
	}
	return n
}
