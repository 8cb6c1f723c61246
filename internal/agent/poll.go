package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

const (
	statusTimeout = 3 * time.Second
	// commandTimeout is long, because the agent sends no further command to an instance before the response to the
	// previous one.
	commandTimeout = 12 * time.Second
)

// The poll interval doubles with each consecutive failure, up to maxPollBackoff times the configured interval.
const (
	maxCountedFailures = 3
	maxPollBackoff     = 5
)

// polledInstance is an instance whose status the agent polls.
type polledInstance struct {
	fleet.Instance
	client  *control.Client
	dialErr error              // error for an invalid address; client is nil then
	cancel  context.CancelFunc // stops polling
	pollNow chan struct{}      // skips the delay before the next poll
}

// updatePolled starts polling new instances and stops polling removed ones. It runs in the loop.
func (a *Agent) updatePolled(ctx context.Context) {
	listed := map[string]bool{}
	for _, view := range a.fleet.Views(a.now()) {
		listed[view.Name] = true
		if instance := a.polled[view.Name]; instance != nil {
			if instance.Addr == view.Addr {
				continue
			}
			instance.cancel()
		}
		a.polled[view.Name] = a.startPolling(ctx, view.Instance)
	}
	for name, instance := range a.polled {
		if !listed[name] {
			instance.cancel()
			delete(a.polled, name)
		}
	}
}

func (a *Agent) startPolling(ctx context.Context, entry fleet.Instance) *polledInstance {
	instance := &polledInstance{Instance: entry, pollNow: make(chan struct{}, 1)}
	var cfg *tls.Config
	if a.keys != nil {
		cfg = a.keys.ClientConfig(entry.Name)
	}
	instance.client, instance.dialErr = control.Dial(entry.Addr, cfg)
	pollCtx, cancel := context.WithCancel(ctx)
	instance.cancel = cancel
	a.wg.Go(func() { a.poll(pollCtx, instance) })
	return instance
}

// poll requests the status of an instance until ctx ends. Its delays have jitter, which spreads the requests to many
// instances over time.
func (a *Agent) poll(ctx context.Context, instance *polledInstance) {
	if instance.client != nil {
		defer instance.client.Close()
	}
	interval := a.cfg.PollInterval.AsDuration()
	delay := time.Duration(rand.Float64() * float64(interval) / 4)
	failures := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		case <-instance.pollNow:
		}
		requested := a.now()
		status, err := instance.requestStatus(ctx)
		if ctx.Err() != nil {
			return
		}
		failures++
		if err == nil {
			failures = 0
		}
		a.post(func() {
			if a.polled[instance.Name] == instance {
				a.fleet.Observe(a.now(), requested, instance.Name, status, err)
			}
		})
		delay = interval * time.Duration(min(1<<min(failures, maxCountedFailures), maxPollBackoff))
		delay = delay*3/4 + time.Duration(rand.Float64()*float64(delay)/2)
	}
}

// requestStatus requests the instance's status. It returns an error if another instance responds at the address.
func (instance *polledInstance) requestStatus(ctx context.Context) (control.Status, error) {
	if instance.dialErr != nil {
		return control.Status{}, instance.dialErr
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := instance.client.Status(ctx)
	if err == nil && status.Name != instance.Name {
		err = fmt.Errorf("unexpected instance %q at %s", status.Name, instance.Addr)
	}
	return status, err
}

// deliver sends a command, records the response and triggers a poll of the instance.
func (a *Agent) deliver(ctx context.Context, instance *polledInstance, delivery fleet.Delivery) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var response control.Response
	err := instance.dialErr
	if err == nil {
		response, err = instance.client.Do(ctx, delivery.Command)
	}
	if err != nil {
		a.log.Info("command delivery failed",
			zap.String("instance", delivery.Instance.Name),
			zap.String("operation", delivery.Command.Operation),
			zap.Error(err))
	}
	a.post(func() { a.fleet.RecordResponse(a.now(), delivery, response, err) })
	select {
	case instance.pollNow <- struct{}{}:
	default: // a poll is already requested
	}
}
