package fleet

import (
	"strings"
	"testing"
)

// An instance must match all kinds of criteria. A pattern that matches no instance is an error, since a typing mistake
// would otherwise go unnoticed.
func TestSelect_Criteria_NamesOrError(t *testing.T) {
	for _, c := range []struct {
		selector Selector
		want     string
		wantErr  string // part of the error's text
	}{
		{Selector{All: true}, "a1 a2 b1", ""},
		{Selector{Names: []string{"a*"}}, "a1 a2", ""},
		{Selector{Zones: []string{"b"}}, "b1", ""},
		{Selector{Labels: []string{"size=big"}, Zones: []string{"a"}}, "a1", ""},
		{Selector{}, "", "name instances"},
		{Selector{Names: []string{"a1", "c"}}, "", `no instance has name "c"`},
		{Selector{Zones: []string{"z"}}, "", `zone "z"`},
		{Selector{Names: []string{"a2"}, Labels: []string{"size=big"}}, "", "fits all"},
		{Selector{Labels: []string{"size"}}, "", "key=value"},
		{Selector{Names: []string{"["}}, "", "syntax error"},
	} {
		got, err := Select(threeInstances(), c.selector)
		if strings.Join(got, " ") != c.want || (err == nil) != (c.wantErr == "") {
			t.Errorf("Select(%+v) = %v, %v", c.selector, got, err)
		}
		if err != nil && !strings.Contains(err.Error(), c.wantErr) {
			t.Errorf("Select(%+v): error %v, want %q", c.selector, err, c.wantErr)
		}
	}
}
