package settings

import "onyxstream/balancer"

var effects = map[string]balancer.Effect{
	"":       balancer.Idempotent,
	"safe":   balancer.Idempotent,
	"keyed":  balancer.IdempotentByKey,
	"unsafe": balancer.NonIdempotent,
}

var scopes = map[string]balancer.Scope{
	"":     balancer.ScopeAll,
	"all":  balancer.ScopeAll,
	"zone": balancer.ScopeZone,
	"cell": balancer.ScopeCell,
}

// convert returns the settings of a validated document. It reports unknown effects and scopes, which validate does not
// check, as a *FieldError.
func (d *document) convert(seed uint64) (Settings, error) {
	s := Settings{
		Settings:         d.balancerSettings(seed),
		ZoneNames:        d.Zones,
		ConnectionGroups: d.Service.ConnectionGroups,
		ReportsLatency:   d.Service.ReportsLatency,
		ConnectTimeout:   d.Limits.ConnectTimeout.duration(),
		AnswerSlack:      d.Rules.AnswerSlack.duration(),
	}
	for i, c := range d.Classes {
		converted, err := d.convertClass(i)
		if err != nil {
			return Settings{}, err
		}
		s.Classes = append(s.Classes, converted)
		s.ClassNames = append(s.ClassNames, c.Name)
	}
	for i, t := range d.Tenants {
		var converted balancer.Tenant
		if i < len(d.Service.TenantConnectionQuotas) {
			converted.ConnectionQuota = d.Service.TenantConnectionQuotas[i]
		}
		s.Tenants = append(s.Tenants, converted)
		s.TenantNames = append(s.TenantNames, t.Name)
	}
	return s, nil
}

// balancerSettings converts the settings of the balancer, except for classes and tenants.
func (d *document) balancerSettings(seed uint64) balancer.Settings {
	s := balancer.Settings{
		Seed:            seed,
		NodeIndex:       d.NodeIndex,
		NodeCount:       d.NodeCount,
		Zone:            d.Zone,
		OverQuotaWeight: d.OverQuotaWeight,
		PassThrough:     d.Service.Mode == modePassThrough,
		PollList:        d.DiscoveryMode == discoveryPoll,

		MaxAttempts: d.Limits.MaxAttempts,
		MayCancel:   d.Limits.Cancel,
		MayProbe:    d.Limits.HealthChecks,
		MayNotify:   d.Limits.Notify,

		DrainGrace:        d.Rules.DrainGrace.duration(),
		SlowStartFraction: d.Rules.SlowStartFraction,
		SlowStartDuration: d.Rules.SlowStartDuration.duration(),
		CollapseMultiple:  d.Rules.CollapseMultiple,
		CollapseWindow:    d.Rules.CollapseWindow.duration(),
		PollInterval:      d.Rules.PollInterval.duration(),
		CrossZoneCost:     d.Costs.CrossZone,
		Zones:             len(d.Zones),
	}
	if d.Limits.RetryAfter {
		s.MaxRetryAfter = d.Limits.MaxRetryAfter.duration()
	}
	return s
}

func (d *document) convertClass(i int) (balancer.Class, error) {
	c := d.Classes[i]
	effect, known := effects[c.Effect]
	if !known {
		return balancer.Class{}, fieldError(classPath(i)+"semantics", "unknown value %q", c.Effect)
	}
	scope, known := scopes[c.Scope]
	if !known {
		return balancer.Class{}, fieldError(classPath(i)+"group", "unknown value %q", c.Scope)
	}
	converted := balancer.Class{
		SetupLatencyObjective: c.LatencyObjective.duration(),
		Deadline:              c.Deadline.duration(),
		PriorityWeight:        c.PriorityWeight,
		Effect:                effect,
		Scope:                 scope,
		IdempotencyWindow:     c.IdempotencyWindow.duration(),
	}
	if i < len(d.Service.MessageLatencyObjectives) {
		converted.MessageLatencyObjective = d.Service.MessageLatencyObjectives[i].duration()
	}
	return converted, nil
}
