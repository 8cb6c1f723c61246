package fleet

import (
	"fmt"
	"maps"
	"slices"

	"onyxstream/internal/control"
)

// LimitError means that a drain would make more instances unavailable than its limits allow.
type LimitError struct{ Text string }

func (e *LimitError) Error() string { return e.Text }

func limitErrorf(format string, args ...any) error {
	return &LimitError{fmt.Sprintf(format, args...)}
}

// limits returns how many instances of the fleet and of a zone may be unavailable at the same time. Unless the options
// allow an empty zone, at least one instance of the zone stays available.
func (f *Fleet) limits(o *Options, zone string) (inFleet, inZone int) {
	inFleet, inZone = o.MaxUnavailable, o.MaxUnavailablePerZone
	zoneSize := 0
	for _, instance := range f.instances {
		if instance.Zone == zone {
			zoneSize++
		}
	}
	if inFleet == 0 {
		inFleet = max(len(f.instances)/2, 1)
	}
	if inZone != 0 && (inZone < zoneSize || o.AllowEmptyZone) {
		return inFleet, inZone
	}
	if o.AllowEmptyZone {
		return inFleet, zoneSize
	}
	return inFleet, zoneSize - 1
}

// checkLimits returns a LimitError for a drain that exceeds its limits: its targets, together with the instances that
// are unavailable now, are too many.
func (f *Fleet) checkLimits(r *Request) error {
	if r.Kind != control.Drain {
		return nil
	}
	unavailable := map[string]bool{}
	for name, observation := range f.observations {
		if !observation.isAvailable() {
			unavailable[name] = true
		}
	}
	for _, name := range r.Targets {
		unavailable[name] = true
	}
	perZone := map[string]int{}
	for name := range unavailable {
		perZone[f.instances[name].Zone]++
	}
	for _, zone := range slices.Sorted(maps.Keys(perZone)) {
		inFleet, inZone := f.limits(&r.Options, zone)
		switch {
		case perZone[zone] > inZone && !r.Options.AllowEmptyZone && r.Options.MaxUnavailablePerZone == 0:
			return limitErrorf("zone %s would be left with no instance: --empty-zone allows that", zone)
		case perZone[zone] > inZone:
			return limitErrorf("%d instances of zone %s would not be available, the limit is %d: --max-unavailable-zone",
				perZone[zone], zone, inZone)
		case len(unavailable) > inFleet:
			return limitErrorf("%d of %d instances would not be available, the limit is %d: --max-unavailable",
				len(unavailable), len(f.instances), inFleet)
		}
	}
	return nil
}

// mayDrain reports whether the limits allow the operation to make an instance unavailable now. Instances that get
// a drain command count as unavailable, because the command may be in effect.
func (f *Fleet) mayDrain(o *Operation, name string) bool {
	if o.Kind != control.Drain || !f.countsAsAvailable(name) {
		return true
	}
	zone := f.instances[name].Zone
	inFleet, inZone := f.limits(&o.Options, zone)
	for other := range f.instances {
		if f.countsAsAvailable(other) {
			continue
		}
		inFleet--
		if f.instances[other].Zone == zone {
			inZone--
		}
	}
	return inFleet > 0 && inZone > 0
}

// countsAsAvailable reports whether an instance is available and its desired state is not a drain.
func (f *Fleet) countsAsAvailable(name string) bool {
	state, ok := f.desired[Scope{Instance: name}]
	if ok && state.Command.Kind == control.Drain {
		return false
	}
	return f.observations[name].isAvailable()
}
