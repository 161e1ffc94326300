// Package loader reads and validates the settings of a node.
package loader

import (
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
	"go.uber.org/zap/zapcore"

	"clementinerock/internal/call/limiter"
	"clementinerock/internal/call/picker"
	"clementinerock/internal/config/parser"
	"clementinerock/internal/mesh/messenger"
)

// Settings are the settings of a node as written in its TOML file.
type Settings struct {
	Name          string `toml:"name"`
	FailureDomain string `toml:"zone"`
	Region        string `toml:"region"`
	Listen        Listen `toml:"listen"`
	Store         Store  `toml:"store"`
	Keys          Keys   `toml:"keys"`
	Peers         Peers  `toml:"peers"`
	Calls         Calls  `toml:"calls"`
	Log           Log    `toml:"log"`

	File string `toml:"-"`
}

// Listen holds the addresses that the node listens on, as IP:port.
type Listen struct {
	Control string `toml:"control"` // UDP, for links to other nodes
	Peer    string `toml:"peer"`    // TCP, for calls from other nodes
	Calls   string `toml:"calls"`   // TCP, for calls from clients
	Admin   string `toml:"admin"`   // TCP, admin interface for targets and operators
}

// Store locates the platform's store.
type Store struct {
	Address string `toml:"address"`
}

// Keys holds the names of the PEM files with the node's identity.
type Keys struct {
	Authority   string `toml:"authority"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
}

// Peers lists the control addresses of seed nodes. They are dialed before those in the store.
type Peers struct {
	Addresses []string `toml:"addresses"`
}

// Calls selects the policies of the call path.
type Calls struct {
	Pick  string `toml:"pick"`
	Limit string `toml:"limit"`
	Hedge *bool  `toml:"hedge"`
}

// Log configures logging.
type Log struct {
	Level string `toml:"level"`
}

// Hedging reports whether hedged calls are enabled, which is the default.
func (c Calls) Hedging() bool { return c.Hedge == nil || *c.Hedge }

// Host returns the part of the node's membership record that comes from the settings.
func (s *Settings) Host() messenger.Host {
	return messenger.Host{
		Name:          s.Name,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Control:       s.Listen.Control,
		Peer:          s.Listen.Peer,
	}
}

// ReadFile reads and validates the settings in a file.
func ReadFile(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, merry.Prepend(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and validates settings. It returns all validation errors together.
func Parse(file string, data []byte) (Settings, error) {
	settings := Settings{File: file}
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return settings, parser.DescribeDecodeError(file, err)
	}
	return settings, errors.Join(settings.Check()...)
}

// Check validates the settings and returns all errors found.
func (s *Settings) Check() []error {
	c := checker{file: s.File}
	c.name("name", s.Name)
	c.name("zone", s.FailureDomain)
	c.name("region", s.Region)
	c.address("listen.control", s.Listen.Control)
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.calls", s.Listen.Calls)
	c.address("listen.admin", s.Listen.Admin)
	c.checkDuplicates(s.Listen)
	c.address("store.address", s.Store.Address)
	c.pemFile("keys.authority", s.Keys.Authority)
	c.pemFile("keys.certificate", s.Keys.Certificate)
	c.pemFile("keys.key", s.Keys.Key)
	for i, address := range s.Peers.Addresses {
		c.address(fmt.Sprintf("peers.addresses[%d]", i), address)
	}
	c.oneOf("calls.pick", s.Calls.Pick,
		picker.PolicyBalanced, picker.PolicyRoundRobin, picker.PolicyRandom, picker.PolicyLeastConnections)
	c.oneOf("calls.limit", s.Calls.Limit,
		limiter.PolicyPriority, limiter.PolicyFIFO, limiter.PolicyUnlimited)
	if _, err := zapcore.ParseLevel(s.Log.Level); s.Log.Level != "" && err != nil {
		c.addError("log.level", s.Log.Level, "debug, info, warn or error")
	}
	return c.errs
}

// checker collects the errors found in a settings file.
type checker struct {
	file string
	errs []error
}

func (c *checker) addError(field, found, allowed string) {
	c.errs = append(c.errs,
		parser.FieldError{File: c.file, Field: field, Found: strconv.Quote(found), Allowed: allowed})
}

func (c *checker) name(field, value string) {
	if !parser.ValidName(value) {
		c.addError(field, value, "lower-case letters, digits and hyphens, starting with a letter, at most 63")
	}
}

func (c *checker) address(field, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.addError(field, value, "an IP address with a port, such as 10.0.0.5:7000")
		return
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		c.addError(field, value, "a port from 1 to 65535")
	}
}

func (c *checker) pemFile(field, value string) {
	if value == "" {
		c.addError(field, value, "the name of a PEM file")
		return
	}
	if _, err := os.Stat(value); err != nil {
		c.addError(field, value, "a PEM file that can be read")
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	if value != "" && !slices.Contains(allowed, value) {
		c.addError(field, value, strings.Join(allowed, ", "))
	}
}

// checkDuplicates adds an error for each TCP address that is used twice.
func (c *checker) checkDuplicates(listen Listen) {
	fields := []struct{ name, address string }{
		{"listen.peer", listen.Peer},
		{"listen.calls", listen.Calls},
		{"listen.admin", listen.Admin},
	}
	used := make(map[string]string)
	for _, field := range fields {
		if other, duplicate := used[field.address]; duplicate && field.address != "" {
			c.addError(field.name, field.address, "an address that "+other+" does not use")
		}
		used[field.address] = field.name
	}
}
