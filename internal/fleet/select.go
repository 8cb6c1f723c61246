package fleet

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

// Selector says which instances are meant; all that it names must fit.
type Selector struct {
	Names  []string // patterns as of a shell: "cardiff-*"
	Zones  []string
	Labels []string // "key=value"
	All    bool
}

// Select lists the instances that fit, in the inventory's order. A pattern or zone that fits none is an error: it is
// most likely written wrong.
func Select(list []Instance, s Selector) (out []string, err error) {
	if !s.All && len(s.Names)+len(s.Zones)+len(s.Labels) == 0 {
		return nil, fmt.Errorf("name instances, or --zone, --label or --all")
	}
	used := map[string]bool{}
	one := func(kind string, wanted []string, fits func(want string) (bool, error)) (bool, error) {
		if len(wanted) == 0 {
			return true, nil
		}
		any := false
		for _, w := range wanted {
			ok, err := fits(w)
			if err != nil {
				return false, fmt.Errorf("%s %q: %w", kind, w, err)
			}
			if ok {
				any, used[kind+" "+w] = true, true
			}
		}
		return any, nil
	}
	for _, x := range list {
		named, err := one("name", s.Names, func(w string) (bool, error) { return path.Match(w, x.Name) })
		if err != nil {
			return nil, err
		}
		zoned, _ := one("zone", s.Zones, func(w string) (bool, error) { return w == x.Zone, nil })
		labelled, err := one("label", s.Labels, func(w string) (bool, error) {
			k, v, ok := strings.Cut(w, "=")
			if !ok {
				return false, fmt.Errorf("it is key=value")
			}
			got, has := x.Labels[k]
			return has && got == v, nil
		})
		if err != nil {
			return nil, err
		}
		if named && zoned && labelled {
			out = append(out, x.Name)
		}
	}
	for _, want := range []struct {
		kind string
		list []string
	}{{"name", s.Names}, {"zone", s.Zones}, {"label", s.Labels}} {
		for _, w := range want.list {
			if !used[want.kind+" "+w] {
				return nil, fmt.Errorf("no instance has %s %q", want.kind, w)
			}
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("no instance fits all of it")
	}
	return out, nil
}

// Waves is how targets would be told if each did as told at once: what a dry run shows.
func Waves(targets []string, atOnce int) [][]string {
	return slices.Collect(slices.Chunk(targets, max(atOnce, 1)))
}
