// Package settings loads a program's settings file strictly: all findings are
// reported together, each with its line and column. Each package defines its own
// settings struct next to its code; this package has the functions they share.
package settings

import (
	"net"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/tomlfile"
)

// Checker is a settings struct that checks its own values.
type Checker interface {
	// Check records a finding in the file for each invalid value.
	Check(file *tomlfile.File)
}

// Load decodes the file into the settings, which hold the defaults, and checks
// them. The error is a finding.List if the file is invalid.
func Load(path string, into Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	file := tomlfile.Decode(path, data, into)
	if file.Parsed() {
		into.Check(file)
	}
	return file.Findings().Err()
}

// Addresses checks that addresses are well formed and that no two keys listen
// on the same address.
type Addresses struct {
	File *tomlfile.File
	seen map[string]string
}

// Listen checks an address that the program listens on: an IP number with a
// port, not used by another key.
func (a *Addresses) Listen(key, address string) {
	a.Peer(key, address)
	if a.seen == nil {
		a.seen = map[string]string{}
	}
	if other, used := a.seen[address]; used && address != "" {
		a.File.Add(key, "%s is used by %s too", address, other)
	}
	a.seen[address] = key
}

// Peer checks the address of another process: an IP number with a port.
func (a *Addresses) Peer(key, address string) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		a.File.Add(key, "want an IP number with a port, not %q", address)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		a.File.Add(key, "want a port up to 65535, not %q", port)
	}
}

// Between checks that a duration is within bounds, both inclusive.
func Between(file *tomlfile.File, key string, value, low, high time.Duration) {
	if value < low || value > high {
		file.Add(key, "want %s to %s, not %s", low, high, value)
	}
}

// IntBetween checks that a number is within bounds, both inclusive.
func IntBetween(file *tomlfile.File, key string, value, low, high int) {
	if value < low || value > high {
		file.Add(key, "want %d to %d, not %d", low, high, value)
	}
}

// Required checks that a string is set.
func Required(file *tomlfile.File, key, value string) {
	if value == "" {
		file.Add(key, "must be set")
	}
}
