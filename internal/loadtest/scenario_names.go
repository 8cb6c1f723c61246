package loadtest

import "onyxstream/internal/tomlfile"

const (
	maxNameLength = 64 // in bytes
	maxShare      = 1e9
	maxDistinct   = 1e9 // keys or groups
	maxZipf       = 20
	maxLoad       = 1000 // in mean loads of a host
)

// checkNames checks what requests are drawn from: classes, tenants, zones, keys and groups.
func (s *Scenario) checkNames() error {
	if len(s.Classes) == 0 {
		return tomlfile.NewFieldError("class", "there is none")
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
		return tomlfile.NewFieldError("tenant", "there is none")
	}
	return firstError(s.Keys.check("keys"), s.Groups.check("groups"), s.checkShares())
}

func (s *Scenario) checkClasses() error {
	seen := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		at := arrayPath("class", i)
		if err := checkName(at+"name", c.Name, seen); err != nil {
			return err
		}
		if len(s.Classes) == 1 && c.Share == 0 {
			c.Share = 1
		}
		if err := c.check(at); err != nil {
			return err
		}
	}
	return nil
}

func (c *Class) check(at string) (err error) {
	c.LifetimeDistribution, err = checkOneOf(at+"spread", c.LifetimeDistribution, lifetimeExponential,
		lifetimeExponential, lifetimeFixed, lifetimeUniform, lifetimePareto)
	if err != nil {
		return err
	}
	return firstError(
		checkRange(at+"share", c.Share, 0, maxShare),
		checkSeconds(at+"deadline", c.Deadline, minSeconds, maxWait.Seconds()),
		checkSeconds(at+"life", c.Lifetime, minSeconds, maxLength.Seconds()),
		checkSeconds(at+"message", c.MessageInterval, 0, maxLength.Seconds()),
		checkRange(at+"load", c.Load, 0, maxLoad))
}

func checkWeightedNames(table string, list []WeightedName) error {
	seen := map[string]bool{}
	for i := range list {
		n := &list[i]
		at := arrayPath(table, i)
		if len(list) == 1 && n.Share == 0 {
			n.Share = 1
		}
		if err := firstError(checkName(at+"name", n.Name, seen), checkRange(at+"share", n.Share, 0, maxShare)); err != nil {
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
		return tomlfile.NewFieldError(table+".zipf", "%g is not above 1 and up to %d", d.Zipf, maxZipf)
	}
	return nil
}

// checkShares checks that not all shares of one kind are 0.
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

// checkName checks a name that is sent in the opening line, and adds it to those seen.
func checkName(at, name string, seen map[string]bool) error {
	if name == "" || len(name) > maxNameLength {
		return tomlfile.NewFieldError(at, "a name has 1 to %d bytes", maxNameLength)
	}
	for _, b := range []byte(name) {
		if b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return tomlfile.NewFieldError(at, "%q has a character that a name can't have", name)
		}
	}
	if seen[name] {
		return tomlfile.NewFieldError(at, "%q is given twice", name)
	}
	if len(seen) >= maxNames {
		return tomlfile.NewFieldError(at, "there are over %d", maxNames)
	}
	seen[name] = true
	return nil
}
