package mallowbridge

func (r *Router) Rows() (n int) { return len(r.m.Replicas) }

func (r *Router) Kinds() (n int) {
	for _, o := range r.m.Services {
		n = max(n, len(o.Classes))
	}
	return n
}
