package config

// routeKey is what no two routes may share.
type routeKey struct{ host, prefix string }

// remembered are the routes that were read last, by what must not occur twice.
type remembered struct {
	generation uint64
	items      []*ListItem
	names      map[string]int
	places     map[routeKey]int
	twice      int
}

// ForgetRoutes has all items read anew.
func (m *SplitCache) ForgetRoutes() {
	m.routes = remembered{generation: m.routes.generation}
	if m.last == nil {
		return
	}
	for _, f := range m.last.Fields {
		for _, it := range f.Items {
			it.Route = nil
		}
	}
}

// Routes are those of a list's items; read is called for items that weren't read before. It gives up where one can't be read, or two
// have the same name, or host and prefix.
func (m *SplitCache) Routes(items []*ListItem, read func(raw []byte) (Route, bool)) ([]Route, bool) {
	r := &m.routes
	if r.names == nil {
		r.names, r.places = map[string]int{}, map[routeKey]int{}
	}
	old := r.items
	r.generation, r.items = r.generation+1, nil
	routes := make([]Route, 0, len(items))
	var added []*ListItem
	for _, it := range items {
		if it.generation == r.generation {
			return nil, m.giveUp()
		}
		if it.generation != r.generation-1 || it.Route == nil || old == nil {
			added = append(added, it)
		}
		it.generation = r.generation
		if !it.readRoute(read) {
			return nil, m.giveUp()
		}
		routes = append(routes, *it.Route)
	}
	r.recount(old, added)
	if r.twice > 0 {
		return nil, m.giveUp()
	}
	r.items = items
	return routes, true
}

// readRoute reads the item's route unless it was read before; false where it is invalid.
func (it *ListItem) readRoute(read func(raw []byte) (Route, bool)) bool {
	if it.Route != nil {
		return true
	}
	route, good := read(it.Raw)
	if good {
		it.Route = &route
	}
	return good
}

// recount takes the items of old that are not of this generation out of the counts, and those of added in.
func (r *remembered) recount(old, added []*ListItem) {
	for _, it := range old {
		if it.generation != r.generation {
			r.count(it, -1)
		}
	}
	for _, it := range added {
		r.count(it, 1)
	}
}

func (m *SplitCache) giveUp() bool {
	m.routes = remembered{generation: m.routes.generation}
	return false
}

func (r *remembered) count(it *ListItem, by int) {
	r.twice += step(r.names, it.Route.Name, by) + step(r.places, routeKey{host: it.Route.Host, prefix: it.Route.Prefix}, by)
}

// step counts a key up or down, and tells by how many keys more occur twice or oftener.
func step[K comparable](counts map[K]int, key K, by int) int {
	was := counts[key]
	now := was + by
	if now == 0 {
		delete(counts, key)
	} else {
		counts[key] = now
	}
	switch {
	case was < 2 && now >= 2:
		return 1
	case was >= 2 && now < 2:
		return -1
	}
	return 0
}
