package config

// routeMatch is the condition for a request to belong to a route. It must be unique.
type routeMatch struct{ host, prefix string }

// routeCache contains the routes that Routes returned last and counts what must be unique among them.
type routeCache struct {
	// generation is the number of calls of Routes.
	generation uint64
	items      []*ListItem
	// names and matches are the numbers of routes with each name and match, and duplicates is how many of these numbers are above 1.
	names      map[string]int
	matches    map[routeMatch]int
	duplicates int
}

// ForgetRoutes discards all parsed routes, so that every item is parsed again.
func (c *SplitCache) ForgetRoutes() {
	c.routes = routeCache{generation: c.routes.generation}
	if c.previous == nil {
		return
	}
	for _, f := range c.previous.Fields {
		for _, it := range f.Items {
			it.Route = nil
		}
	}
}

// Routes returns the routes of a list's items. It calls read for the items that were not parsed before. It returns false if read does, or
// if two routes have the same name or the same host and prefix.
func (c *SplitCache) Routes(items []*ListItem, read func(raw []byte) (Route, bool)) ([]Route, bool) {
	r := &c.routes
	if r.names == nil {
		r.names, r.matches = map[string]int{}, map[routeMatch]int{}
	}
	old := r.items
	r.generation, r.items = r.generation+1, nil
	routes := make([]Route, 0, len(items))
	var added []*ListItem
	for _, it := range items {
		if it.generation == r.generation {
			return nil, c.discardRoutes()
		}
		if it.generation != r.generation-1 || it.Route == nil || old == nil {
			added = append(added, it)
		}
		it.generation = r.generation
		if !it.readRoute(read) {
			return nil, c.discardRoutes()
		}
		routes = append(routes, *it.Route)
	}
	r.updateCounts(old, added)
	if r.duplicates > 0 {
		return nil, c.discardRoutes()
	}
	r.items = items
	return routes, true
}

// readRoute parses the item's route if it was not parsed before. It returns false if the route is invalid.
func (it *ListItem) readRoute(read func(raw []byte) (Route, bool)) bool {
	if it.Route != nil {
		return true
	}
	route, valid := read(it.Raw)
	if valid {
		it.Route = &route
	}
	return valid
}

// updateCounts subtracts the items of old that are not of this generation from the counts and adds those of added.
func (r *routeCache) updateCounts(old, added []*ListItem) {
	for _, it := range old {
		if it.generation != r.generation {
			r.adjustCounts(it, -1)
		}
	}
	for _, it := range added {
		r.adjustCounts(it, 1)
	}
}

// discardRoutes discards the counts, so that the next call of Routes counts anew. It always returns false.
func (c *SplitCache) discardRoutes() bool {
	c.routes = routeCache{generation: c.routes.generation}
	return false
}

func (r *routeCache) adjustCounts(it *ListItem, delta int) {
	r.duplicates += adjustCount(r.names, it.Route.Name, delta) + adjustCount(r.matches, routeMatch{host: it.Route.Host, prefix: it.Route.Prefix}, delta)
}

// adjustCount adds delta to the count of a key. It returns the change of the number of keys that occur more than once.
func adjustCount[K comparable](counts map[K]int, key K, delta int) int {
	before := counts[key]
	after := before + delta
	if after == 0 {
		delete(counts, key)
	} else {
		counts[key] = after
	}
	switch {
	case before < 2 && after >= 2:
		return 1
	case before >= 2 && after < 2:
		return -1
	}
	return 0
}
