package mallowbridge

func (r *Router) Rows() (n int) { return len(r.m.Reps) }

func (r *Router) Kinds() (n int) {
	for _, o := range r.m.Offers {
		n = max(n, len(o.Kinds))
	}
	return n
}
