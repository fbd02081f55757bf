package intent

import (
	"fmt"
	"slices"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/tomlfile"
)

// applier applies the parts of an intent to target, and adds findings to file.
type applier struct {
	file   *tomlfile.File
	target *config.Config
	// requested are the engines whose wanted state the intent changes, directly or by their model or pool.
	requested map[string]bool
}

// setIfGiven copies a value if it was given.
func setIfGiven[T any](target *T, given *T) {
	if given != nil {
		*target = *given
	}
}

// upsert returns the element that matches, or adds an empty one.
func upsert[T any](items *[]T, match func(*T) bool) (item *T, added bool) {
	for i := range *items {
		if match(&(*items)[i]) {
			return &(*items)[i], false
		}
	}
	*items = append(*items, *new(T))
	return &(*items)[len(*items)-1], true
}

func (a *applier) models(models []Model) {
	for i, m := range models {
		match := func(c *config.Model) bool { return c.Name == m.Name }
		if m.Remove {
			a.checkRemoval(fmt.Sprintf("model.%d", i), m.Name, a.target.Model(m.Name) != nil)
			a.target.Models = slices.DeleteFunc(a.target.Models, func(c config.Model) bool { return match(&c) })
			continue
		}
		c, _ := upsert(&a.target.Models, match)
		c.Name = m.Name
		setIfGiven(&c.Version, m.Version)
		setIfGiven(&c.Adapters, m.Adapters)
		setIfGiven(&c.Callers, m.Callers)
		setIfGiven(&c.MaxPromptTokens, m.MaxPromptTokens)
		setIfGiven(&c.WeightBytes, m.WeightBytes)
		if m.Version != nil || m.Adapters != nil {
			a.requestPools(func(p *config.Pool) bool { return p.Model == m.Name })
		}
	}
}

func (a *applier) pools(pools []Pool) {
	for i, p := range pools {
		match := func(c *config.Pool) bool { return c.Name == p.Name }
		if p.Remove {
			a.checkRemoval(fmt.Sprintf("pool.%d", i), p.Name, a.target.Pool(p.Name) != nil)
			a.target.Pools = slices.DeleteFunc(a.target.Pools, func(c config.Pool) bool { return match(&c) })
			continue
		}
		c, added := upsert(&a.target.Pools, match)
		if added {
			c.RoleChangeWeight = 1
		}
		c.Name = p.Name
		setIfGiven(&c.Model, p.Model)
		if p.Model != nil {
			a.requestPools(func(c *config.Pool) bool { return c.Name == p.Name })
		}
		setIfGiven(&c.Region, p.Region)
		setIfGiven(&c.MinServing, p.MinServing)
		setIfGiven(&c.MinPrefill, p.MinPrefill)
		setIfGiven(&c.MaxPrefill, p.MaxPrefill)
		setIfGiven(&c.MinDecode, p.MinDecode)
		setIfGiven(&c.RoleChangeWeight, p.RoleChangeWeight)
	}
}

func (a *applier) engines(engines []Engine) {
	for i, e := range engines {
		if e.Remove {
			a.removeEngine(fmt.Sprintf("engine.%d", i), e.ID)
			continue
		}
		a.engine(e)
	}
	a.setWantedStates()
}

func (a *applier) engine(e Engine) {
	c, added := upsert(&a.target.Engines, func(c *config.Engine) bool { return c.ID == e.ID })
	c.ID = e.ID
	if added {
		c.Routing = config.RoutingOut
		c.Fencing = config.FencingIgnore
		c.Want.Role = config.RoleMixed
	}
	setIfGiven(&c.Address, e.Address)
	setIfGiven(&c.Zone, e.Zone)
	if added || e.Pool != nil {
		a.requested[e.ID] = true
	}
	setIfGiven(&c.Pool, e.Pool)
	setIfGiven(&c.Leave, e.Leave)
	setIfGiven(&c.Fencing, (*config.Fencing)(e.Fencing))
	setIfGiven(&c.Want.Role, (*config.Role)(e.Role))
}

// requestPools marks the engines of all matching pools as requested.
func (a *applier) requestPools(match func(*config.Pool) bool) {
	for i := range a.target.Engines {
		e := &a.target.Engines[i]
		if pool := a.target.Pool(e.Pool); pool != nil && match(pool) {
			a.requested[e.ID] = true
		}
	}
}

// setWantedStates sets the wanted state of the requested engines to that of their pool's model. Other
// engines keep their wanted state. After a cancelled plan it differs from the model's, and an unrelated
// intent must not resume the cancelled change.
func (a *applier) setWantedStates() {
	for i := range a.target.Engines {
		e := &a.target.Engines[i]
		pool := a.target.Pool(e.Pool)
		if pool == nil || !a.requested[e.ID] {
			continue
		}
		model := a.target.Model(pool.Model)
		if model == nil {
			continue
		}
		e.Want.Model = model.Name
		e.Want.Version = model.Version
		e.Want.Adapters = slices.Clone(model.Adapters)
	}
}

func (a *applier) removeEngine(key, id string) {
	e := a.target.Engine(id)
	a.checkRemoval(key, id, e != nil)
	if e == nil {
		return
	}
	if e.Routing != config.RoutingOut {
		a.file.Add(key, "engine %q is %s; let it leave first", id, e.Routing)
		return
	}
	a.target.Engines = slices.DeleteFunc(a.target.Engines, func(c config.Engine) bool { return c.ID == id })
}

func (a *applier) services(services []Service) {
	for i, s := range services {
		match := func(c *config.Service) bool { return c.Name == s.Name }
		if s.Remove {
			a.checkRemoval(fmt.Sprintf("service.%d", i), s.Name, slices.ContainsFunc(a.target.Services, func(c config.Service) bool { return match(&c) }))
			a.target.Services = slices.DeleteFunc(a.target.Services, func(c config.Service) bool { return match(&c) })
			continue
		}
		c, _ := upsert(&a.target.Services, match)
		c.Name = s.Name
		setIfGiven(&c.Prefix, s.Prefix)
		setIfGiven(&c.NonIdempotent, s.NonIdempotent)
		a.upstreams(c, s.Upstreams)
	}
}

func (a *applier) upstreams(service *config.Service, upstreams []ServiceUpstream) {
	for _, u := range upstreams {
		match := func(c *config.ServiceUpstream) bool { return c.ID == u.ID }
		if u.Remove {
			service.Upstreams = slices.DeleteFunc(service.Upstreams, func(c config.ServiceUpstream) bool { return match(&c) })
			continue
		}
		c, _ := upsert(&service.Upstreams, match)
		c.ID = u.ID
		setIfGiven(&c.Address, u.Address)
		setIfGiven(&c.Zone, u.Zone)
		setIfGiven(&c.Leave, u.Leave)
	}
}

func (a *applier) organisations(organisations []Organisation) {
	for i, o := range organisations {
		match := func(c *config.Organisation) bool { return c.Name == o.Name }
		if o.Remove {
			a.checkRemoval(fmt.Sprintf("organisation.%d", i), o.Name, slices.ContainsFunc(a.target.Organisations, func(c config.Organisation) bool { return match(&c) }))
			a.target.Organisations = slices.DeleteFunc(a.target.Organisations, func(c config.Organisation) bool { return match(&c) })
			continue
		}
		c, _ := upsert(&a.target.Organisations, match)
		c.Name = o.Name
		setIfGiven(&c.KeyHashes, o.KeyHashes)
		setIfGiven(&c.RequestsPerSecond, o.RequestsPerSecond)
		setIfGiven(&c.Burst, o.Burst)
		setIfGiven(&c.Share, o.Share)
	}
}

// checkRemoval adds a finding if the object to remove does not exist.
func (a *applier) checkRemoval(key, name string, found bool) {
	if !found {
		a.file.Add(key, "nothing named %q to remove", name)
	}
}
