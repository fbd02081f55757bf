package instance

import (
	"slices"
	"strings"

	"sassafrasfield/internal/logging"
	"sassafrasfield/internal/rolekeeper"
	"sassafrasfield/internal/routes"
	"sassafrasfield/internal/scaling"
	"sassafrasfield/internal/usagereport"
)

// duties returns the duties of the lease holder that the platform supports, apart from the roles.
func (in *Instance) duties() []rolekeeper.Duty {
	var list []rolekeeper.Duty
	if in.adapter.Usage != nil && in.settings.Usage.Length > 0 {
		list = append(list, usagereport.NewReporter(in.settings.Usage, in.adapter.Table, in.adapter.Usage,
			in.relay.Usage, in.relay.TimeOfDay, logging.Part(in.log, "usage")))
	}
	if in.adapter.Scaler != nil {
		list = append(list, scaling.NewScaler(in.settings.Self.Name, rolekeeper.LeaseName, in.settings.Scaling, in.adapter.Table,
			in.adapter.Scaler, in, logging.Part(in.log, "scaling")))
	}
	return list
}

// ScalableServices implements scaling.View.
func (in *Instance) ScalableServices() []scaling.Service {
	var list []scaling.Service
	for name, s := range in.relay.Services() {
		if s.Scale != nil {
			list = append(list, in.scalableService(name, s))
		}
	}
	slices.SortFunc(list, func(a, b scaling.Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// scalableService returns the number of a service's upstreams in each zone in which it may run.
func (in *Instance) scalableService(name string, s routes.Service) scaling.Service {
	zones := map[string]scaling.Zone{}
	for zone := range s.Scale.ZonePrices {
		zones[zone] = scaling.Zone{Name: zone}
	}
	for _, u := range in.relay.Upstreams(name) {
		zone := zones[u.Zone]
		zone.Name = u.Zone
		kind := scaling.OnDemand
		if u.Spot {
			kind = scaling.Spot
		}
		if u.Draining {
			zone.Draining[kind]++
		} else {
			zone.Engines[kind]++
		}
		zones[u.Zone] = zone
	}
	return scaling.Service{Name: name, Limits: *s.Scale, Zones: scaling.SortedZones(zones)}
}
