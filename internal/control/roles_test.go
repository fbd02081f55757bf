package control

import (
	"testing"

	"github.com/pkg/errors"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/roles"
)

// TestRoleChangeIsRejectedAfterPoolChanged guards against a role change that is
// based on an outdated view: any change of the pool between the observation and
// the decision invalidates the decision.
func TestRoleChangeIsRejectedAfterPoolChanged(t *testing.T) {
	state := config.EngineState{Model: "m", Version: "1", Role: config.RoleDecode}
	seen := &config.Config{
		Version: 7, Intent: 2, Pools: []config.Pool{{Name: "main", Model: "m"}},
		Engines: []config.Engine{
			{ID: "e1", Pool: "main", Want: state, Loaded: state, Routing: config.RoutingServing},
			{ID: "e2", Pool: "main", Want: state, Loaded: state, Routing: config.RoutingServing},
		},
	}
	decision := roles.Decision{Change: &roles.Change{Engine: "e1", From: config.RoleDecode, To: config.RolePrefill}}
	next, err := withRole(seen, seen, "main", decision)
	if err != nil || next.Version != 8 || next.Engine("e1").Want.Role != config.RolePrefill {
		t.Fatalf("the role change returned %+v, %v; want version 8 with e1 as prefill", next, err)
	}
	if next.Engine("e1").Loaded.Role != config.RoleDecode || next.Engine("e1").Routing != config.RoutingServing {
		t.Errorf("more than the wanted role changed: %+v", next.Engine("e1"))
	}
	if last := next.Pool("main").LastRoleChange; last == nil || last.Version != 8 {
		t.Errorf("the change is not recorded: %+v", last)
	}
	for what, move := range map[string]func(*config.Config){
		"an operator's change": func(c *config.Config) { c.Intent++ },
		"a drain":              func(c *config.Config) { c.SetRouting("e2", config.RoutingDraining) },
		"a change under way":   func(c *config.Config) { c.Engine("e2").Want.Version = "2" },
		"the engine's role": func(c *config.Config) {
			c.Engine("e1").Want.Role, c.Engine("e1").Loaded.Role = config.RoleMixed, config.RoleMixed
		},
		"the engine's removal": func(c *config.Config) { c.Engines = c.Engines[1:] },
	} {
		newest := seen.Clone()
		move(newest)
		if _, err := withRole(seen, newest, "main", decision); !errors.Is(err, errPoolChanged) {
			t.Errorf("%s in between: %v", what, err)
		}
	}
}
