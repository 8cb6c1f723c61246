package loadtest

import "onyxstream/internal/tomlfile"

const (
	maxNameLength = 64 // in bytes
	maxShare      = 1e9
	maxDistinct   = 1e9 // keys or groups
	maxZipf       = 20
	maxLoad       = 1000 // as a multiple of the host's mean load per connection
)

// checkNames validates the classes, tenants, zones, keys and groups that requests are drawn from.
func (s *Scenario) checkNames() error {
	if len(s.Classes) == 0 {
		return tomlfile.NewFieldError("class", "at least one is required")
	}
	if err := s.checkClasses(); err != nil {
		return err
	}
	if err := checkWeightedNames("tenant", s.Tenants); err != nil {
		return err
	}
	if err := checkWeightedNames("zone", s.Zones); err != nil {
		return err
	}
	if len(s.Tenants) == 0 {
		return tomlfile.NewFieldError("tenant", "at least one is required")
	}
	return firstError(s.Keys.check("keys"), s.Groups.check("groups"), s.checkShares())
}

func (s *Scenario) checkClasses() error {
	seen := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		prefix := fieldPrefix("class", i)
		if err := checkName(prefix+"name", c.Name, seen); err != nil {
			return err
		}
		if len(s.Classes) == 1 && c.Share == 0 {
			c.Share = 1
		}
		if err := c.check(prefix); err != nil {
			return err
		}
	}
	return nil
}

func (c *Class) check(prefix string) (err error) {
	c.LifetimeDistribution, err = checkOneOf(prefix+"spread", c.LifetimeDistribution, lifetimeExponential,
		lifetimeExponential, lifetimeFixed, lifetimeUniform, lifetimePareto)
	if err != nil {
		return err
	}
	return firstError(
		checkRange(prefix+"share", c.Share, 0, maxShare),
		checkSeconds(prefix+"deadline", c.Deadline, minSeconds, maxWait.Seconds()),
		checkSeconds(prefix+"life", c.Lifetime, minSeconds, maxLength.Seconds()),
		checkSeconds(prefix+"message", c.MessageInterval, 0, maxLength.Seconds()),
		checkRange(prefix+"load", c.Load, 0, maxLoad))
}

func checkWeightedNames(table string, list []WeightedName) error {
	seen := map[string]bool{}
	for i := range list {
		n := &list[i]
		prefix := fieldPrefix(table, i)
		if len(list) == 1 && n.Share == 0 {
			n.Share = 1
		}
		if err := firstError(checkName(prefix+"name", n.Name, seen), checkRange(prefix+"share", n.Share, 0, maxShare)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Distribution) check(table string) error {
	if err := checkRange(table+".count", float64(d.Count), 0, maxDistinct); err != nil {
		return err
	}
	if d.Zipf != 0 && !(d.Zipf > 1 && d.Zipf <= maxZipf) {
		return tomlfile.NewFieldError(table+".zipf", "exponent %g must be 0, or above 1 and at most %d", d.Zipf, maxZipf)
	}
	return nil
}

// checkShares returns an error if all classes, all tenants or all zones have a share of 0.
func (s *Scenario) checkShares() error {
	total := 0.0
	for _, c := range s.Classes {
		total += c.Share
	}
	if total <= 0 {
		return tomlfile.NewFieldError("class[0].share", "all shares are 0")
	}
	return firstError(checkShareSum("tenant", s.Tenants), checkShareSum("zone", s.Zones))
}

func checkShareSum(table string, list []WeightedName) error {
	total := 0.0
	for _, n := range list {
		total += n.Share
	}
	if len(list) > 0 && total <= 0 {
		return tomlfile.NewFieldError(table+"[0].share", "all shares are 0")
	}
	return nil
}

// checkName validates a name that the opening line contains, and adds it to the names seen so far.
func checkName(path, name string, seen map[string]bool) error {
	if name == "" || len(name) > maxNameLength {
		return tomlfile.NewFieldError(path, "name must have 1 to %d bytes", maxNameLength)
	}
	for _, b := range []byte(name) {
		if b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return tomlfile.NewFieldError(path, "invalid character in name %q", name)
		}
	}
	if seen[name] {
		return tomlfile.NewFieldError(path, "duplicate name %q", name)
	}
	if len(seen) >= maxNames {
		return tomlfile.NewFieldError(path, "more than %d names", maxNames)
	}
	seen[name] = true
	return nil
}
