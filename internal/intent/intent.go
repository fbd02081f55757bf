// Package intent parses the intent files of operators and applies them to a configuration. An intent is
// partial: it lists the objects to change, and leaves all others unchanged. The result is the new
// configuration, or a list of findings with their positions in the file.
package intent

import (
	"sassafrasfield/internal/config"
	"sassafrasfield/internal/finding"
	"sassafrasfield/internal/tomlfile"
)

// Intent is the content of an intent file. A nil field was not given and leaves the value unchanged.
type Intent struct {
	Name          string         `toml:"name"`
	Models        []Model        `toml:"model"`
	Pools         []Pool         `toml:"pool"`
	Engines       []Engine       `toml:"engine"`
	Services      []Service      `toml:"service"`
	Organisations []Organisation `toml:"organisation"`
}

// Model declares a model that callers may request.
type Model struct {
	Name            string    `toml:"name"`
	Version         *string   `toml:"version"`
	Adapters        *[]string `toml:"adapters"`
	Callers         *[]string `toml:"callers"`
	MaxPromptTokens *int      `toml:"max_prompt_tokens"`
	WeightBytes     *int64    `toml:"weight_bytes"`
	Remove          bool      `toml:"remove"`
}

// Pool declares a pool of engines.
type Pool struct {
	Name             string   `toml:"name"`
	Model            *string  `toml:"model"`
	Region           *string  `toml:"region"`
	MinServing       *int     `toml:"min_serving"`
	MinPrefill       *int     `toml:"min_prefill"`
	MaxPrefill       *int     `toml:"max_prefill"`
	MinDecode        *int     `toml:"min_decode"`
	RoleChangeWeight *float64 `toml:"role_change_weight"`
	Remove           bool     `toml:"remove"`
}

// Engine declares an engine, or whether it is to be withdrawn from or returned to service.
type Engine struct {
	ID      string  `toml:"id"`
	Address *string `toml:"address"`
	Zone    *string `toml:"zone"`
	Pool    *string `toml:"pool"`
	// Role is mixed, prefill or decode.
	Role *string `toml:"role"`
	// Fencing is refuse or ignore.
	Fencing *string `toml:"fencing"`
	Leave   *bool   `toml:"leave"`
	Remove  bool    `toml:"remove"`
}

// Service declares a plain service.
type Service struct {
	Name          string            `toml:"name"`
	Prefix        *string           `toml:"prefix"`
	NonIdempotent *[]string         `toml:"non_idempotent"`
	Upstreams     []ServiceUpstream `toml:"upstream"`
	Remove        bool              `toml:"remove"`
}

// ServiceUpstream declares an upstream of a plain service.
type ServiceUpstream struct {
	ID      string  `toml:"id"`
	Address *string `toml:"address"`
	Zone    *string `toml:"zone"`
	Leave   *bool   `toml:"leave"`
	Remove  bool    `toml:"remove"`
}

// Organisation declares an organisation of callers and its limits.
type Organisation struct {
	Name              string    `toml:"name"`
	KeyHashes         *[]string `toml:"key_hashes"`
	RequestsPerSecond *float64  `toml:"requests_per_second"`
	Burst             *int      `toml:"burst"`
	Share             *float64  `toml:"share"`
	Remove            bool      `toml:"remove"`
}

// Parse parses an intent file and checks it without a configuration. Apply also checks whether the intent
// can be applied to a configuration.
func Parse(name string, data []byte) (*Intent, finding.List) {
	in := &Intent{}
	file := tomlfile.Decode(name, data, in)
	if file.Parsed() {
		checkEntries(file, in)
	}
	return in, file.Findings()
}

// Apply returns the configuration that results from applying the intent to base. It has the version and
// intent numbers of base, which is not modified. The configuration is nil if the findings include an error.
func Apply(name string, data []byte, base *config.Config) (*config.Config, *Intent, finding.List) {
	in := &Intent{}
	file := tomlfile.Decode(name, data, in)
	failed := file.Findings().Failed()
	if file.Parsed() {
		checkEntries(file, in)
	}
	if failed {
		return nil, in, file.Findings()
	}
	target := base.Clone()
	a := applier{file: file, target: target, requested: map[string]bool{}}
	a.models(in.Models)
	a.pools(in.Pools)
	a.engines(in.Engines)
	a.services(in.Services)
	a.organisations(in.Organisations)
	checkTarget(file, in, target)
	if file.Findings().Failed() {
		return nil, in, file.Findings()
	}
	return target, in, file.Findings()
}
