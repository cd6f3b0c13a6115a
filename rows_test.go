package mallowbridge

func (r *Router) Rows() (n int) { return len(r.scheduler.Replicas) }

func (r *Router) Kinds() (n int) {
	for _, o := range r.scheduler.Services {
		n = max(n, len(o.Classes))
	}
	return n
}
