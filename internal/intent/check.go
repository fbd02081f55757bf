package intent

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/tomlfile"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// checkEntries adds the findings that do not depend on the configuration to which the intent is applied.
func checkEntries(file *tomlfile.File, in *Intent) {
	if in.Name == "" {
		file.Add("name", "an intent needs a name")
	}
	seen := map[string]bool{}
	checkName := func(kind string, i int, key, name string) {
		path := fmt.Sprintf("%s.%d", kind, i)
		if !namePattern.MatchString(name) {
			file.Add(path+"."+key, "%q is no name: want letters, digits, dot, dash or underscore, 63 at most", name)
		}
		if seen[kind+"/"+name] {
			file.Add(path+"."+key, "%s %q stands twice", kind, name)
		}
		seen[kind+"/"+name] = true
	}
	for i, m := range in.Models {
		checkName("model", i, "name", m.Name)
		if m.WeightBytes != nil && *m.WeightBytes < 0 {
			file.Add(fmt.Sprintf("model.%d.weight_bytes", i), "want 0 or more, not %d", *m.WeightBytes)
		}
	}
	for i, p := range in.Pools {
		checkName("pool", i, "name", p.Name)
		checkPool(file, fmt.Sprintf("pool.%d", i), p)
	}
	for i, e := range in.Engines {
		checkName("engine", i, "id", e.ID)
		checkEngine(file, fmt.Sprintf("engine.%d", i), e)
	}
	for i, s := range in.Services {
		checkName("service", i, "name", s.Name)
		checkService(file, fmt.Sprintf("service.%d", i), s)
	}
	for i, o := range in.Organisations {
		checkName("organisation", i, "name", o.Name)
		checkOrganisation(file, fmt.Sprintf("organisation.%d", i), o)
	}
}

func checkPool(file *tomlfile.File, path string, p Pool) {
	for key, n := range map[string]*int{
		"min_serving": p.MinServing, "min_prefill": p.MinPrefill,
		"max_prefill": p.MaxPrefill, "min_decode": p.MinDecode,
	} {
		if n != nil && *n < 0 {
			file.Add(path+"."+key, "want 0 or more, not %d", *n)
		}
	}
	if p.RoleChangeWeight != nil && *p.RoleChangeWeight < 0 {
		file.Add(path+".role_change_weight", "want 0 or more")
	}
}

func checkEngine(file *tomlfile.File, path string, e Engine) {
	checkAddress(file, path, e.Address)
	if e.Role != nil && !slices.Contains([]config.Role{config.RoleMixed, config.RolePrefill, config.RoleDecode}, config.Role(*e.Role)) {
		file.Add(path+".role", "want mixed, prefill or decode, not %q", *e.Role)
	}
	if e.Fencing != nil && !slices.Contains([]config.Fencing{config.FencingRefuse, config.FencingIgnore}, config.Fencing(*e.Fencing)) {
		file.Add(path+".fencing", "want refuse or ignore, not %q", *e.Fencing)
	}
}

func checkAddress(file *tomlfile.File, path string, address *string) {
	if address == nil {
		return
	}
	host, port, err := net.SplitHostPort(*address)
	if err != nil || net.ParseIP(host) == nil {
		file.Add(path+".address", "want an IP number with a port, not %q", *address)
		return
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		file.Add(path+".address", "want a port from 1 to 65535, not %q", port)
	}
}

func checkService(file *tomlfile.File, path string, s Service) {
	if s.Prefix != nil && (!strings.HasPrefix(*s.Prefix, "/") || *s.Prefix == "/" || strings.HasPrefix(*s.Prefix, "/v1")) {
		file.Add(path+".prefix", "want a path such as /bales, outside /v1, not %q", *s.Prefix)
	}
	for i, u := range s.Upstreams {
		upstreamPath := fmt.Sprintf("%s.upstream.%d", path, i)
		if !namePattern.MatchString(u.ID) {
			file.Add(upstreamPath+".id", "%q is no name", u.ID)
		}
		checkAddress(file, upstreamPath, u.Address)
	}
	if s.NonIdempotent == nil {
		return
	}
	for i, pair := range *s.NonIdempotent {
		if method, prefix, ok := strings.Cut(pair, " "); !ok || method == "" || !strings.HasPrefix(prefix, "/") {
			file.Add(fmt.Sprintf("%s.non_idempotent.%d", path, i), `want "METHOD /path", not %q`, pair)
		}
	}
}

func checkOrganisation(file *tomlfile.File, path string, o Organisation) {
	if o.KeyHashes != nil {
		for i, h := range *o.KeyHashes {
			if !hashPattern.MatchString(h) {
				file.Add(fmt.Sprintf("%s.key_hashes.%d", path, i), "want a SHA-256 sum in lower-case hexadecimal")
			}
		}
	}
	if o.RequestsPerSecond != nil && *o.RequestsPerSecond < 0 {
		file.Add(path+".requests_per_second", "want 0 or more")
	}
	if o.Burst != nil && *o.Burst < 0 {
		file.Add(path+".burst", "want 0 or more")
	}
	if o.Share != nil && *o.Share < 0 {
		file.Add(path+".share", "want 0 or more")
	}
}

// checkTarget adds the findings about the resulting configuration. Their positions are those of the
// intent's entries for the objects, if it has any.
func checkTarget(file *tomlfile.File, in *Intent, target *config.Config) {
	for _, p := range target.Pools {
		key := entryKey("pool", in.Pools, func(d Pool) bool { return d.Name == p.Name })
		if target.Model(p.Model) == nil {
			file.Add(key+".model", "pool %q has no model %q", p.Name, p.Model)
		}
	}
	addresses := map[string]string{}
	for _, e := range target.Engines {
		key := entryKey("engine", in.Engines, func(d Engine) bool { return d.ID == e.ID })
		if target.Pool(e.Pool) == nil {
			file.Add(key+".pool", "engine %q has no pool %q", e.ID, e.Pool)
		}
		if e.Address == "" {
			file.Add(key+".address", "engine %q needs an address", e.ID)
		}
		checkAddressUnique(file, key+".address", addresses, e.Address, e.ID)
	}
	for _, s := range target.Services {
		key := entryKey("service", in.Services, func(d Service) bool { return d.Name == s.Name })
		if s.Prefix == "" {
			file.Add(key+".prefix", "service %q needs a prefix", s.Name)
		}
		for _, u := range s.Upstreams {
			checkAddressUnique(file, key+".upstream", addresses, u.Address, u.ID)
		}
	}
	checkKeysUnique(file, in, target)
}

// checkKeysUnique adds a finding for each key that belongs to two organisations.
func checkKeysUnique(file *tomlfile.File, in *Intent, target *config.Config) {
	owners := map[string]string{}
	for _, o := range target.Organisations {
		key := entryKey("organisation", in.Organisations, func(d Organisation) bool { return d.Name == o.Name })
		for _, h := range o.KeyHashes {
			if owner, taken := owners[h]; taken {
				file.Add(key+".key_hashes", "organisations %q and %q share a key", owner, o.Name)
			}
			owners[h] = o.Name
		}
	}
}

// checkAddressUnique adds a finding if an upstream has the address of another one. addresses maps the
// addresses seen so far to their upstreams.
func checkAddressUnique(file *tomlfile.File, key string, addresses map[string]string, address, id string) {
	if address == "" {
		return
	}
	if other, taken := addresses[address]; taken {
		file.Add(key, "%q and %q have the same address %s", other, id, address)
	}
	addresses[address] = id
}

// entryKey returns the dotted key of the intent's entry that matches, or only the kind if there is none.
func entryKey[T any](kind string, items []T, match func(T) bool) string {
	if i := slices.IndexFunc(items, match); i >= 0 {
		return fmt.Sprintf("%s.%d", kind, i)
	}
	return kind
}
