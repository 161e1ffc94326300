package matcher

import (
	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"
)

// Update leads from one version of the configuration to another, or from none if Base is
// 0. It carries whole routes, changed or added, and the names of those that are gone.
type Update struct {
	_ struct{} `cbor:",toarray"`

	Base     uint64
	Version  uint64
	Digest   uint64 // of the table that results
	Routes   []Route
	Removed  []string
	Services []Service
	Limits   Limits
}

// Digest returns a hash of the table's content that does not depend on the order of its
// routes.
func (t *Table) Digest() uint64 {
	digest := hash(&t.Limits) + t.Version
	for i := range t.Routes {
		digest += hash(t.Routes[i])
	}
	for _, service := range t.Services {
		digest += hash(&service)
	}
	return digest
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
		update.Base = base.Version
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
	if len(r.Parts) != len(other.Parts) {
		return false
	}
	for i := range r.Parts {
		if r.Parts[i] != other.Parts[i] {
			return false
		}
	}
	return r.Name == other.Name && r.Host == other.Host && r.Prefix == other.Prefix &&
		r.Idempotent == other.Idempotent && r.Timeout == other.Timeout && r.Aim == other.Aim &&
		r.Priority == other.Priority && r.MaxAttempts == other.MaxAttempts
}

// Reuse replaces routes by equal ones of another version, so that versions share memory.
func (t *Table) Reuse(other *Table) {
	known := make(map[string]*Route, len(other.Routes))
	for _, route := range other.Routes {
		known[route.Name] = route
	}
	for i, route := range t.Routes {
		if old := known[route.Name]; old != nil && old.equal(route) {
			t.Routes[i] = old
		}
	}
}

// Apply returns the version that an update leads to from base, checked whole.
func (u *Update) Apply(base *Table) (*Table, error) {
	table := &Table{Version: u.Version, Services: make(map[string]Service), Limits: u.Limits}
	changed := make(map[string]bool, len(u.Routes)+len(u.Removed))
	for i := range u.Routes {
		changed[u.Routes[i].Name] = true
		table.Routes = append(table.Routes, &u.Routes[i])
	}
	for _, name := range u.Removed {
		changed[name] = true
	}
	if u.Base != 0 {
		if base == nil || base.Version != u.Base {
			return nil, merry.Errorf("update from version %d does not fit", u.Base)
		}
		for _, route := range base.Routes {
			if !changed[route.Name] {
				table.Routes = append(table.Routes, route)
			}
		}
	}
	for _, service := range u.Services {
		table.Services[service.Name] = service
	}
	if found := table.Digest(); found != u.Digest {
		return nil, merry.Errorf("version %d has digest %x, not %x", u.Version, found, u.Digest)
	}
	return table, table.Index()
}
