package matcher

import (
	"maps"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

// Update is the difference between two versions of the configuration. It contains the full
// content of added and changed routes, and the names of removed ones. If BaseVersion is 0,
// it contains the whole configuration.
type Update struct {
	_ struct{} `cbor:",toarray"`

	BaseVersion uint64
	Version     uint64
	Digest      uint64 // digest of the resulting table
	Routes      []Route
	Removed     []string
	Services    []Service
	Limits      Limits

	Accounts        []Account // added and changed client accounts
	RemovedAccounts []string  // names of removed client accounts
}

// Digest returns a hash of the table's content. It does not depend on the order of the
// routes.
func (t *Table) Digest() uint64 {
	digest := hash(&t.Limits) + t.Version
	for _, route := range t.Routes {
		route.ensureHash()
		digest += route.hash
	}
	for _, service := range t.Services {
		digest += hash(&service)
	}
	for i := range t.Accounts {
		digest += hash(&t.Accounts[i])
	}
	return digest
}

// ensureHash computes the route's hash if it is not set. Tables share the routes that did not
// change between versions, so that a new version costs only the hashes of its changed routes.
func (r *Route) ensureHash() {
	if r.hash == 0 {
		r.hash = hash(r)
	}
}

func hash(value any) uint64 {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(err) // structs of plain strings and numbers can always be encoded
	}
	return xxh3.Hash(encoded)
}

// Since returns the update that turns base into this table. If base is nil, the update
// contains the whole configuration.
func (t *Table) Since(base *Table) Update {
	update := Update{Version: t.Version, Digest: t.Digest(), Limits: t.Limits}
	baseRoutes := make(map[string]*Route)
	if base != nil {
		update.BaseVersion = base.Version
		baseRoutes = make(map[string]*Route, len(base.Routes))
		for _, route := range base.Routes {
			baseRoutes[route.Name] = route
		}
	}
	for _, route := range t.Routes {
		if old := baseRoutes[route.Name]; old == nil || !old.equal(route) {
			update.Routes = append(update.Routes, *route)
		}
		delete(baseRoutes, route.Name)
	}
	for name := range baseRoutes {
		update.Removed = append(update.Removed, name)
	}
	for _, service := range t.Services {
		update.Services = append(update.Services, service)
	}
	update.accountsSince(t, base)
	return update
}

func (r *Route) equal(other *Route) bool {
	if r == other {
		return true
	}
	r.ensureHash()
	other.ensureHash()
	return r.hash == other.hash
}

// Apply returns the validated table that results from applying the update to base. The result
// shares unchanged routes and index entries with base.
func (u *Update) Apply(base *Table) (*Table, error) {
	if u.BaseVersion == 0 {
		base = &Table{}
	} else if base == nil || base.Version != u.BaseVersion {
		return nil, merry.Errorf("update applies to version %d only", u.BaseVersion)
	}
	table := &Table{Version: u.Version, Services: make(map[string]Service, len(u.Services)), Limits: u.Limits}
	for _, service := range u.Services {
		table.Services[service.Name] = service
	}
	table.setAccounts(base, u)
	dropped := table.setRoutes(base, u)
	if digest := table.Digest(); digest != u.Digest {
		return nil, merry.Errorf("version %d has digest %x, expected %x", u.Version, digest, u.Digest)
	}
	if !maps.Equal(table.Services, base.Services) {
		return table, table.Index()
	}
	return table, table.indexFrom(base, dropped, u)
}

// setRoutes sets the table's routes to those of base with the changes of the update, which
// come last. It returns the routes of base that were removed or replaced.
func (t *Table) setRoutes(base *Table, u *Update) []*Route {
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

// indexFrom builds the index that Match uses from that of base, which must have the same
// services: it validates only the routes in the update and copies only the index of the hosts
// that they belong to.
func (t *Table) indexFrom(base *Table, dropped []*Route, u *Update) error {
	t.routesByHost = maps.Clone(base.routesByHost)
	if t.routesByHost == nil {
		t.routesByHost = make(map[string]prefixRoutes)
	}
	copied := make(map[string]struct{})
	// writable returns the routes of a host and copies them on the first call, because the
	// original belongs to base.
	writable := func(host string) prefixRoutes {
		if _, ok := copied[host]; !ok {
			copied[host] = struct{}{}
			t.routesByHost[host] = maps.Clone(t.routesByHost[host])
			if t.routesByHost[host] == nil {
				t.routesByHost[host] = make(prefixRoutes)
			}
		}
		return t.routesByHost[host]
	}
	for _, route := range dropped {
		delete(writable(route.Host), route.Prefix)
	}
	for _, route := range t.Routes[len(t.Routes)-len(u.Routes):] {
		if err := t.prepareRoute(route); err != nil {
			return err
		}
		if err := t.addToIndex(writable(route.Host), route); err != nil {
			return err
		}
	}
	return nil
}
