package settings

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"onyxstream/balancer"
)

const completeDocument = `{"index":1,"groupSize":3,"zone":2,"zones":["a","b","c"],"registryMode":"ask","unheardOf":{"x":[1]},
	"overShareWorth":0.1,"customers":[{"name":"acme"},{"name":"other"}],
	"lanes":[{"name":"chat","aim":300,"deadline":1800.5,"semantics":"keyed","group":"zone","window":5000,"worth":3}],
	"domain":{"groups":true,"mode":"pass","messageAim":[50],"tellsDelay":true,"tenantQuotaConnections":[48]},
	"limits":{"cancel":true,"connectTimeout":250,"maxAttempts":5,"maxRetryAfter":2000,"probes":true,"retryAfter":true},
	"report":{"how":"on_probe","fields":["util","x0"]},
	"rules":{"answerSlack":16,"askWithin":10000,"coldShare":0.3,"fallMultiple":4,"overloadFor":1000,
	"stopSendingWithin":400,"warmWithin":8600}}`

// Each value of a complete document must reach its setting, in the unit of that setting. Unknown keys are ignored.
func TestParse_CompleteDocument_ConvertsAll(t *testing.T) {
	s, err := Parse(7, []byte(completeDocument))
	if err != nil {
		t.Fatal(err)
	}
	class := balancer.Class{
		SetupLatencyObjective:   300 * time.Millisecond,
		Deadline:                1800500 * time.Microsecond,
		MessageLatencyObjective: 50 * time.Millisecond,
		PriorityWeight:          3,
		Effect:                  balancer.IdempotentByKey,
		Scope:                   balancer.ScopeZone,
		IdempotencyWindow:       5 * time.Second,
	}
	switch {
	case s.Seed != 7 || s.NodeIndex != 1 || s.NodeCount != 3 || s.Zone != 2 || s.OverQuotaWeight != 0.1:
		t.Errorf("node settings differ from the document: %+v", s)
	case !s.PassThrough || !s.PollList || !s.MayCancel || !s.MayProbe || s.MayNotify || !s.ConnectionGroups || !s.ReportsLatency:
		t.Errorf("modes and permissions differ from the document: %+v", s)
	case len(s.Classes) != 1 || s.Classes[0] != class:
		t.Errorf("classes differ from the document: %+v", s.Classes)
	case !slices.Equal(s.Tenants, []balancer.Tenant{{ConnectionQuota: 48}, {}}):
		t.Errorf("tenants differ from the document: %+v", s.Tenants)
	case !slices.Equal(s.ClassNames, []string{"chat"}) || !slices.Equal(s.TenantNames, []string{"acme", "other"}) ||
		!slices.Equal(s.ZoneNames, []string{"a", "b", "c"}):
		t.Errorf("names of classes %v, of tenants %v and of zones %v; want [chat], [acme other] and [a b c]", s.ClassNames, s.TenantNames, s.ZoneNames)
	case s.ConnectTimeout != 250*time.Millisecond || s.AnswerSlack != 16*time.Millisecond || s.MaxRetryAfter != 2*time.Second ||
		s.MaxAttempts != 5 || s.DrainGrace != 400*time.Millisecond || s.SlowStartFraction != 0.3 || s.SlowStartDuration != 8600*time.Millisecond ||
		s.CollapseMultiple != 4 || s.CollapseWindow != time.Second || s.PollInterval != 10*time.Second:
		t.Errorf("limits and rules differ from the document: %+v", s)
	}
}

// A pushed endpoint list and a cross-zone cost are parsed, and change no other setting.
func TestParse_PushedListWithCosts_ReadsBoth(t *testing.T) {
	old, err := Parse(7, []byte(completeDocument))
	if err != nil || old.CrossZoneCost != 0 || old.Zones != 3 {
		t.Fatalf("document without costs: cross-zone cost %g, %d zones, error %v", old.CrossZoneCost, old.Zones, err)
	}
	s, err := Parse(7, []byte(strings.Replace(completeDocument, `"registryMode":"ask"`, `"registryMode":"push","prices":{"crossZone":0.1}`, 1)))
	if err != nil || s.PollList || s.CrossZoneCost != 0.1 {
		t.Errorf("polling %v, cross-zone cost %g, error %v; want false, 0.1 and no error", s.PollList, s.CrossZoneCost, err)
	}
	s.PollList, s.CrossZoneCost = true, 0
	if diff := cmp.Diff(old, s); diff != "" {
		t.Error("other settings changed too:", diff)
	}
}

// If Retry-After is turned off, the value of maxRetryAfter must not apply.
func TestParse_RetryAfterOff_IsZero(t *testing.T) {
	s, err := Parse(1, []byte(strings.Replace(completeDocument, `"retryAfter":true`, `"retryAfter":false`, 1)))
	if err != nil || s.MaxRetryAfter != 0 {
		t.Errorf("MaxRetryAfter %v, error %v; want 0 and no error", s.MaxRetryAfter, err)
	}
}

// A missing key means that there is no limit, no Retry-After, no objective or no quota.
func TestParse_MissingKeys_MeanNone(t *testing.T) {
	for _, c := range []struct {
		from, to string
		holds    func(s Settings) bool
	}{
		{`"deadline":1800.5,`, ``, func(s Settings) bool { return s.Classes[0].Deadline == 0 }},
		{`"aim":300,`, ``, func(s Settings) bool { return s.Classes[0].SetupLatencyObjective == 0 }},
		{`"window":5000,`, ``, func(s Settings) bool {
			return s.Classes[0].Effect == balancer.IdempotentByKey && s.Classes[0].IdempotencyWindow == 0
		}},
		{`"semantics":"keyed",`, ``, func(s Settings) bool { return s.Classes[0].Effect == balancer.Idempotent }},
		{`"maxAttempts":5`, `"maxAttempts":0`, func(s Settings) bool { return s.MaxAttempts == 0 }},
		{`"maxRetryAfter":2000`, `"maxRetryAfter":0`, func(s Settings) bool { return s.MaxRetryAfter == 0 }},
		{`"tenantQuotaConnections":[48]`, `"tenantQuotaConnections":[]`, func(s Settings) bool { return len(s.Tenants) == 2 && s.Tenants[0].ConnectionQuota == 0 }},
		{`"messageAim":[50],`, ``, func(s Settings) bool { return s.Classes[0].MessageLatencyObjective == 0 }},
		{`"overloadFor":1000,`, ``, func(s Settings) bool { return s.CollapseWindow == 0 }},
		{`"customers":[{"name":"acme"},{"name":"other"}],`, ``, func(s Settings) bool { return len(s.Tenants) == 0 }},
	} {
		text := strings.Replace(completeDocument, c.from, c.to, 1)
		s, err := Parse(1, []byte(text))
		if text == completeDocument || err != nil || !c.holds(s) {
			t.Errorf("%s changed or removed: error %v, settings %+v; want no error and the default value", c.from, err, s.Settings)
		}
	}
}

// An error must name the invalid field by its path of JSON keys, so that operators find it in a large document.
func TestParse_Errors_NameField(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{`"worth":3`, `"worth":"much"`, "lanes.worth"},
		{`"connectTimeout":250`, `"connectTimeout":-1`, "limits.connectTimeout"},
		{`"answerSlack":16`, `"answerSlack":1e13`, "rules.answerSlack"},
		{`"coldShare":0.3`, `"coldShare":1.5`, "rules.coldShare"},
		{`"groupSize":3`, `"groupSize":-3`, "groupSize"},
		{`"group":"zone"`, `"group":"town"`, "lanes[0].group"},
		{`"deadline":1800.5`, `"deadline":-1`, "lanes[0].deadline"},
		{`"aim":300`, `"aim":-300`, "lanes[0].aim"},
		{`"window":5000`, `"window":-1`, "lanes[0].window"},
		{`"window":5000`, `"window":"long"`, "lanes.window"},
		{`"worth":3`, `"worth":-3`, "lanes[0].worth"},
		{`"semantics":"keyed"`, `"semantics":"once"`, "lanes[0].semantics"},
		{`"messageAim":[50]`, `"messageAim":[-50]`, "domain.messageAim[0]"},
		{`"messageAim":[50]`, `"messageAim":50`, "domain.messageAim"},
		{`"tenantQuotaConnections":[48]`, `"tenantQuotaConnections":[-48]`, "domain.tenantQuotaConnections[0]"},
		{`"overShareWorth":0.1`, `"overShareWorth":-0.1`, "overShareWorth"},
		{`"registryMode":"ask"`, `"registryMode":"poll"`, "registryMode"},
		{`"mode":"pass"`, `"mode":"through"`, "domain.mode"},
		{`"maxAttempts":5`, `"maxAttempts":2.5`, "limits.maxAttempts"},
		{`"lanes":[`, `"lanes":[],"old":[`, "lanes"},
		{`"unheardOf":{"x":[1]}`, `"prices":{"crossZone":-0.1}`, "prices.crossZone"},
		{`{"index"`, `["index"`, ""},
	} {
		text := strings.Replace(completeDocument, c.from, c.to, 1)
		_, err := Parse(1, []byte(text))
		var wrong *FieldError
		if text == completeDocument || !errors.As(err, &wrong) || wrong.Field != c.field {
			t.Errorf("%s: error %v, want an error that names field %q", c.to, err, c.field)
		}
	}
	if _, err := Parse(1, []byte(`{}`)); err == nil || !strings.Contains(err.Error(), `"lanes"`) {
		t.Errorf("document without classes: error %v, want one that names \"lanes\"", err)
	}
}
