package matcher

import (
	"maps"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

// Update leads from one version of the configuration to another, or from none if Base is
// 0. It carries whole routes, changed or added, and the names of those that are gone.
type Update struct {
	_ struct{} `cbor:",toarray"`

	BaseVersion uint64
	Version     uint64
	Digest      uint64 // of the table that results
	Routes      []Route
	Removed     []string
	Services    []Service
	Limits      Limits
}

// Digest returns a hash of the table's content that does not depend on the order of its
// routes.
func (t *Table) Digest() uint64 {
	digest := hash(&t.Limits) + t.Version
	for _, route := range t.Routes {
		route.seal()
		digest += route.hash
	}
	for _, service := range t.Services {
		digest += hash(&service)
	}
	return digest
}

// seal computes the route's hash unless that was done before. Versions share routes, so a
// version costs hashes of its changed routes only.
func (r *Route) seal() {
	if r.hash == 0 {
		r.hash = hash(r)
	}
}

func hash(value any) uint64 {
	text, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // plain structs of texts and numbers can always be encoded
	}
	return xxh3.Hash(text)
}

// Since returns the update that leads from base to the table. base may be nil.
func (t *Table) Since(base *Table) Update {
	update := Update{Version: t.Version, Digest: t.Digest(), Limits: t.Limits}
	known := make(map[string]*Route)
	if base != nil {
		update.BaseVersion = base.Version
		known = make(map[string]*Route, len(base.Routes))
		for _, route := range base.Routes {
			known[route.Name] = route
		}
	}
	for _, route := range t.Routes {
		if old := known[route.Name]; old == nil || !old.equal(route) {
			update.Routes = append(update.Routes, *route)
		}
		delete(known, route.Name)
	}
	for name := range known {
		update.Removed = append(update.Removed, name)
	}
	for _, service := range t.Services {
		update.Services = append(update.Services, service)
	}
	return update
}

func (r *Route) equal(other *Route) bool {
	if r == other {
		return true
	}
	r.seal()
	other.seal()
	return r.hash == other.hash
}

// Apply returns the version that an update leads to from base, checked whole. It shares
// with base what did not change.
func (u *Update) Apply(base *Table) (*Table, error) {
	if u.BaseVersion == 0 {
		base = &Table{}
	} else if base == nil || base.Version != u.BaseVersion {
		return nil, merry.Errorf("update from version %d does not fit", u.BaseVersion)
	}
	table := &Table{Version: u.Version, Services: make(map[string]Service, len(u.Services)), Limits: u.Limits}
	for _, service := range u.Services {
		table.Services[service.Name] = service
	}
	dropped := table.derive(base, u)
	if found := table.Digest(); found != u.Digest {
		return nil, merry.Errorf("version %d has digest %x, not %x", u.Version, found, u.Digest)
	}
	if !maps.Equal(table.Services, base.Services) {
		return table, table.Index()
	}
	return table, table.reindex(base, dropped, u)
}

// derive sets the routes to those of base with the update's changes and returns the routes
// of base that are gone or replaced.
func (t *Table) derive(base *Table, u *Update) []*Route {
	changed := make(map[string]struct{}, len(u.Routes)+len(u.Removed))
	for i := range u.Routes {
		changed[u.Routes[i].Name] = struct{}{}
	}
	for _, name := range u.Removed {
		changed[name] = struct{}{}
	}
	var dropped []*Route
	t.Routes = make([]*Route, 0, len(base.Routes)+len(u.Routes))
	for _, route := range base.Routes {
		if _, ok := changed[route.Name]; ok {
			dropped = append(dropped, route)
			continue
		}
		t.Routes = append(t.Routes, route)
	}
	for i := range u.Routes {
		route := u.Routes[i]
		route.hash = 0
		t.Routes = append(t.Routes, &route)
	}
	return dropped
}

// reindex prepares the table for Match from the index of base, which has the same
// services: only routes that the update changed are checked, and only their hosts' routes
// are copied.
func (t *Table) reindex(base *Table, dropped []*Route, u *Update) error {
	t.hosts = maps.Clone(base.hosts)
	if t.hosts == nil {
		t.hosts = make(map[string]prefixes)
	}
	own := make(map[string]struct{})
	edit := func(host string) prefixes {
		if _, ok := own[host]; !ok {
			own[host] = struct{}{}
			t.hosts[host] = maps.Clone(t.hosts[host])
			if t.hosts[host] == nil {
				t.hosts[host] = make(prefixes)
			}
		}
		return t.hosts[host]
	}
	for _, route := range dropped {
		delete(edit(route.Host), route.Prefix)
	}
	for _, route := range t.Routes[len(t.Routes)-len(u.Routes):] {
		if err := t.check(route); err != nil {
			return err
		}
		if err := t.place(edit(route.Host), route); err != nil {
			return err
		}
	}
	return nil
}
