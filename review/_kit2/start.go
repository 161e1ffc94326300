package kit

import (
	"encoding/json"
	"fmt"

	"clementinerock/platform/standin"
)

// Route is a route of a configuration.
type Route map[string]any

// Config returns a configuration.
func Config(version int, services []string, routes []Route, tenants []map[string]any) []byte {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 130, "protocol": "h1", "tls": false})
	}
	config := map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	text, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	return text
}

// NewRoute returns a route as the deployments have it.
func NewRoute(name, prefix, kind, service string, timeout float64) Route {
	return Route{
		"name": name, "host": "a.example", "prefix": prefix, "kind": kind, "timeoutS": timeout, "targetLatencyS": 0.2,
		"priority": 1, "service": service, "maxAttempts": 3, "public": false,
	}
}

// StartStore starts the project's stand-in of the store and writes a configuration.
func (m *Mesh) StartStore(config []byte) (*standin.Store, func(), error) {
	store := &standin.Store{}
	address, stop, err := store.Start(fmt.Sprintf("127.0.0.1:%d", m.Ports.Store))
	if err != nil {
		return nil, nil, err
	}
	m.Store = address
	if config != nil {
		store.Put("op/config", config)
	}
	return store, stop, nil
}

// StartTargets starts one target beside each host. Reports are sent after StartReports.
func (m *Mesh) StartTargets() ([]*Target, error) {
	var targets []*Target
	for i, h := range m.Hosts {
		t := &Target{ID: fmt.Sprintf("i-%d-1", i+1), Host: h}
		if err := t.Listen(); err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	return targets, nil
}
