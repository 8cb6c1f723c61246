// Package settings reads the settings object that the operators hand to every node, on the simulator's
// wire and on sockets alike, into the terms of the decision module.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"onyxstream/balancer"
)

// ms is a time in milliseconds.
type ms float64

func (m ms) duration() time.Duration {
	return time.Duration(math.Round(float64(m)*1000)) * time.Microsecond
}

// facts is the part of the settings that the module uses; the rest is ignored.
type facts struct {
	Index          int     `json:"index"`
	GroupSize      int     `json:"groupSize"`
	Zone           int     `json:"zone"`
	OverShareWorth float64 `json:"overShareWorth"`
	RegistryMode   string  `json:"registryMode"`
	Lanes          []struct {
		Name      string  `json:"name"`
		Aim       ms      `json:"aim"`
		Deadline  ms      `json:"deadline"`
		Semantics string  `json:"semantics"`
		Group     string  `json:"group"`
		Window    ms      `json:"window"`
		Worth     float64 `json:"worth"`
	} `json:"lanes"`
	Customers []struct {
		Name string `json:"name"`
	} `json:"customers"`
	Zones  []string `json:"zones"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
	} `json:"prices"`
	Domain struct {
		Groups     bool      `json:"groups"`
		TellsDelay bool      `json:"tellsDelay"`
		MessageAim []ms      `json:"messageAim"`
		Mode       string    `json:"mode"`
		TenantOpen []float64 `json:"tenantQuotaConnections"`
	} `json:"domain"`
	Limits struct {
		Cancel         bool `json:"cancel"`
		ConnectTimeout ms   `json:"connectTimeout"`
		MaxAttempts    int  `json:"maxAttempts"`
		MaxRetryAfter  ms   `json:"maxRetryAfter"`
		MayTell        bool `json:"mayTell"`
		Probes         bool `json:"probes"`
		RetryAfter     bool `json:"retryAfter"`
	} `json:"limits"`
	Rules struct {
		AnswerSlack       ms      `json:"answerSlack"`
		AskWithin         ms      `json:"askWithin"`
		ColdShare         float64 `json:"coldShare"`
		FallMultiple      float64 `json:"fallMultiple"`
		OverloadFor       ms      `json:"overloadFor"`
		StopSendingWithin ms      `json:"stopSendingWithin"`
		WarmWithin        ms      `json:"warmWithin"`
	} `json:"rules"`
}

var effects = map[string]balancer.Effect{"": balancer.Idempotent, "safe": balancer.Idempotent, "keyed": balancer.IdempotentByKey, "unsafe": balancer.NonIdempotent}

var scopes = map[string]balancer.Scope{"": balancer.ScopeAll, "all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell}

// Settings is what the object says: the module's part, and what the node itself needs to speak for it.
type Settings struct {
	balancer.Settings
	// The names of classes, tenants and zones, in the order of the module's indices.
	ClassNames, TenantNames, ZoneNames []string
	ConnectionGroups                   bool          // connections of a group share work on a server
	ReportsLatency                     bool          // nodes are to know what a message takes at a server
	ConnectTimeout                     time.Duration // a connection that is not up by then counts as none; 0 for no limit
	AnswerSlack                        time.Duration // how long after the deadline a final answer is still in time
}

// FieldError says which field is wrong and why. Field is "" where the whole object is.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Err.Error()
	}
	return "field " + strconv.Quote(e.Field) + ": " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }

func at(field string, err error) error { return &FieldError{field, err} }

// bound is a figure that may not be under the least that it can mean.
type bound struct {
	name     string
	v, least float64
}

// Parse reads the settings object. Keys that it does not know are passed over; an error is a *FieldError.
func Parse(seed uint64, raw []byte) (Settings, error) {
	var f facts
	if err := json.Unmarshal(raw, &f); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return Settings{}, at(kind.Field, fmt.Errorf("a %s does not fit", kind.Value))
		}
		return Settings{}, at("", err)
	}
	s := Settings{ZoneNames: f.Zones, ConnectionGroups: f.Domain.Groups, ReportsLatency: f.Domain.TellsDelay, ConnectTimeout: f.Limits.ConnectTimeout.duration(),
		AnswerSlack: f.Rules.AnswerSlack.duration()}
	s.Settings = balancer.Settings{
		Seed: seed, NodeIndex: f.Index, NodeCount: f.GroupSize, Zone: f.Zone,
		OverQuotaWeight: f.OverShareWorth,
		PassThrough:     f.Domain.Mode == "pass", PollList: f.RegistryMode == "ask",
		MaxAttempts: f.Limits.MaxAttempts, MayCancel: f.Limits.Cancel, MayProbe: f.Limits.Probes,
		MayNotify:  f.Limits.MayTell,
		DrainGrace: f.Rules.StopSendingWithin.duration(), SlowStartFraction: f.Rules.ColdShare,
		SlowStartDuration: f.Rules.WarmWithin.duration(), CollapseMultiple: f.Rules.FallMultiple,
		CollapseWindow: f.Rules.OverloadFor.duration(), PollInterval: f.Rules.AskWithin.duration(),
		CrossZoneCost: f.Prices.CrossZone, Zones: len(f.Zones),
	}
	if f.Limits.RetryAfter {
		s.MaxRetryAfter = f.Limits.MaxRetryAfter.duration()
	}
	for _, word := range []struct{ name, v, one, other string }{
		{"registryMode", f.RegistryMode, "push", "ask"}, {"domain.mode", f.Domain.Mode, "proxy", "pass"},
	} {
		if word.v != "" && word.v != word.one && word.v != word.other {
			return s, at(word.name, fmt.Errorf("unknown word %q", word.v))
		}
	}
	bounds := []bound{
		{"groupSize", float64(f.GroupSize), 0}, {"index", float64(f.Index), 0}, {"overShareWorth", f.OverShareWorth, 0},
		{"limits.maxAttempts", float64(f.Limits.MaxAttempts), 0},
		{"limits.connectTimeout", float64(f.Limits.ConnectTimeout), 0},
		{"limits.maxRetryAfter", float64(f.Limits.MaxRetryAfter), 0},
		{"rules.answerSlack", float64(f.Rules.AnswerSlack), 0},
		{"rules.askWithin", float64(f.Rules.AskWithin), 0}, {"rules.coldShare", f.Rules.ColdShare, 0},
		{"rules.fallMultiple", f.Rules.FallMultiple, 0}, {"rules.overloadFor", float64(f.Rules.OverloadFor), 0},
		{"rules.stopSendingWithin", float64(f.Rules.StopSendingWithin), 0},
		{"rules.warmWithin", float64(f.Rules.WarmWithin), 0}, {"prices.crossZone", f.Prices.CrossZone, 0},
	}
	for i, l := range f.Lanes {
		name := fmt.Sprintf("lanes[%d].", i)
		bounds = append(bounds, bound{name + "aim", float64(l.Aim), 0}, bound{name + "deadline", float64(l.Deadline), 0},
			bound{name + "window", float64(l.Window), 0}, bound{name + "worth", l.Worth, 0})
	}
	for i, aim := range f.Domain.MessageAim {
		bounds = append(bounds, bound{fmt.Sprintf("domain.messageAim[%d]", i), float64(aim), 0})
	}
	for i, open := range f.Domain.TenantOpen {
		bounds = append(bounds, bound{fmt.Sprintf("domain.tenantQuotaConnections[%d]", i), open, 0})
	}
	for _, b := range bounds {
		if b.v < b.least || b.v > 1e12 {
			return s, at(b.name, fmt.Errorf("%g is out of range", b.v))
		}
	}
	if f.Rules.ColdShare > 1 {
		return s, at("rules.coldShare", fmt.Errorf("%g is over 1", f.Rules.ColdShare))
	}
	if len(f.Lanes) == 0 {
		return s, at("lanes", errors.New("no class is set"))
	}
	for i, l := range f.Lanes {
		name := fmt.Sprintf("lanes[%d].", i)
		effect, ok := effects[l.Semantics]
		if !ok {
			return s, at(name+"semantics", fmt.Errorf("unknown word %q", l.Semantics))
		}
		scope, ok := scopes[l.Group]
		if !ok {
			return s, at(name+"group", fmt.Errorf("unknown word %q", l.Group))
		}
		c := balancer.Class{SetupLatencyObjective: l.Aim.duration(), Deadline: l.Deadline.duration(), PriorityWeight: l.Worth,
			Effect: effect, Scope: scope, IdempotencyWindow: l.Window.duration()}
		if i < len(f.Domain.MessageAim) {
			c.MessageLatencyObjective = f.Domain.MessageAim[i].duration()
		}
		s.Classes = append(s.Classes, c)
		s.ClassNames = append(s.ClassNames, l.Name)
	}
	for i, c := range f.Customers {
		var t balancer.Tenant
		if i < len(f.Domain.TenantOpen) {
			t.ConnectionQuota = f.Domain.TenantOpen[i]
		}
		s.Tenants = append(s.Tenants, t)
		s.TenantNames = append(s.TenantNames, c.Name)
	}
	return s, nil
}
