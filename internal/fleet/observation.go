package fleet

import (
	"time"

	"onyxstream/internal/control"
)

// Reachability is whether an instance responds to status requests.
type Reachability string

// The values of Reachability. An instance is Unknown before its first status, and after a command that it may have
// applied. Instances that are Unknown or Down count as unavailable.
const (
	Unknown Reachability = "unknown"
	Up      Reachability = "up"
	Down    Reachability = "down"
)

// Observation is the last status of an instance.
type Observation struct {
	Reachability Reachability   `json:"reach"`
	ObservedAt   time.Duration  `json:"-"` // when the status was requested
	Status       control.Status `json:"status"`
	LastError    string         `json:"why,omitempty"` // error of the last request that failed after ObservedAt

	validFrom time.Duration // a status that was requested earlier is outdated
}

// isAvailable reports whether the instance admits new clients.
func (o *Observation) isAvailable() bool {
	return o.Reachability == Up && o.Status.State == control.Serving
}

// isUpSince reports whether the instance is up and its last status was requested after a time.
func (o *Observation) isUpSince(at time.Duration) bool {
	return o.Reachability == Up && o.ObservedAt > at
}

// describe returns the instance's state for operators.
func (o *Observation) describe() string {
	if o.Reachability != Up {
		return string(o.Reachability)
	}
	return string(o.Status.State)
}

// Observe records the status that an instance sent in response to a request made at the time requested, or the error of
// the request. It ignores a status that was requested before invalidate was last called or before the recorded status,
// however late it arrives.
func (f *Fleet) Observe(now, requested time.Duration, name string, status control.Status, err error) {
	f.advanceClock(now)
	observation := f.observations[name]
	if observation == nil {
		return
	}
	if err != nil {
		observation.LastError = err.Error()
		return
	}
	if requested < observation.validFrom || requested < observation.ObservedAt {
		return
	}
	observation.Reachability = Up
	observation.ObservedAt = requested
	observation.Status = status
	observation.LastError = ""
}

// invalidate makes an instance Unknown until its next status, because it may have applied a command.
func (f *Fleet) invalidate(name string) {
	observation := f.observations[name]
	if observation == nil {
		return
	}
	observation.Reachability = Unknown
	observation.validFrom = f.now
}

// expireObservations marks instances as Down if their last status is older than DownAfter.
func (f *Fleet) expireObservations() {
	for _, observation := range f.observations {
		if observation.Reachability == Up && f.now-observation.ObservedAt > f.cfg.DownAfter {
			observation.Reachability = Down
		}
	}
}

// View is an instance with its last status, as operators see it.
type View struct {
	Instance
	Observation
	AgeMS     int64  `json:"age_ms"`              // age of the status
	Operation string `json:"operation,omitempty"` // ID of the operation in progress on the instance
}

// Views returns all instances in the inventory's order.
func (f *Fleet) Views(now time.Duration) (views []View) {
	f.advanceClock(now)
	f.expireObservations()
	operationOf := map[string]string{}
	for _, o := range f.running {
		for name, step := range o.Steps {
			if !step.State.Ended() {
				operationOf[name] = o.ID
			}
		}
	}
	for _, name := range f.inventoryOrder {
		observation := f.observations[name]
		views = append(views, View{
			Instance:    f.instances[name],
			Observation: *observation,
			AgeMS:       (f.now - observation.ObservedAt).Milliseconds(),
			Operation:   operationOf[name],
		})
	}
	return views
}
