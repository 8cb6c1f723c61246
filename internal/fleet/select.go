package fleet

import (
	"errors"
	"fmt"
	"path"
	"slices"
	"strings"
)

// Selector selects instances. An instance must match all criteria that are set.
type Selector struct {
	Names  []string // shell patterns, for example "cardiff-*"
	Zones  []string
	Labels []string // "key=value"
	All    bool
}

// criterion is one part of a selector. An instance matches it if it matches one of the patterns.
type criterion struct {
	name     string
	patterns []string
	matches  func(instance *Instance, pattern string) (bool, error)
	matched  map[string]bool // patterns that match at least one instance
}

func (s *Selector) criteria() []criterion {
	return []criterion{
		{name: "name", patterns: s.Names, matches: matchName, matched: map[string]bool{}},
		{name: "zone", patterns: s.Zones, matches: matchZone, matched: map[string]bool{}},
		{name: "label", patterns: s.Labels, matches: matchLabel, matched: map[string]bool{}},
	}
}

func matchName(instance *Instance, pattern string) (bool, error) {
	return path.Match(pattern, instance.Name)
}

func matchZone(instance *Instance, zone string) (bool, error) { return instance.Zone == zone, nil }

func matchLabel(instance *Instance, label string) (bool, error) {
	key, want, ok := strings.Cut(label, "=")
	if !ok {
		return false, errors.New("want key=value")
	}
	value, ok := instance.Labels[key]
	return ok && value == want, nil
}

// fits reports whether an instance matches one of the patterns. Every instance fits if there are no patterns.
func (c *criterion) fits(instance *Instance) (bool, error) {
	if len(c.patterns) == 0 {
		return true, nil
	}
	fits := false
	for _, pattern := range c.patterns {
		ok, err := c.matches(instance, pattern)
		if err != nil {
			return false, fmt.Errorf("%s %q: %w", c.name, pattern, err)
		}
		if ok {
			fits = true
			c.matched[pattern] = true
		}
	}
	return fits, nil
}

// Select returns the names of the selected instances, in the order of the inventory. A pattern that matches no instance
// is an error, because it is probably a typing mistake.
func Select(instances []Instance, s Selector) (names []string, err error) {
	if !s.All && len(s.Names)+len(s.Zones)+len(s.Labels) == 0 {
		return nil, errors.New("name instances, or --zone, --label or --all")
	}
	criteria := s.criteria()
	for i := range instances {
		selected := true
		for c := range criteria {
			fits, err := criteria[c].fits(&instances[i])
			if err != nil {
				return nil, err
			}
			selected = selected && fits
		}
		if selected {
			names = append(names, instances[i].Name)
		}
	}
	for _, c := range criteria {
		for _, pattern := range c.patterns {
			if !c.matched[pattern] {
				return nil, fmt.Errorf("no instance has %s %q", c.name, pattern)
			}
		}
	}
	if len(names) == 0 {
		return nil, errors.New("no instance fits all criteria")
	}
	return names, nil
}

// Waves returns the targets in waves of waveSize, as they start if all steps of a wave end at the same time.
func Waves(targets []string, waveSize int) [][]string {
	return slices.Collect(slices.Chunk(targets, max(waveSize, 1)))
}
