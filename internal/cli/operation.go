package cli

import (
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

const (
	operationCheckInterval = 200 * time.Millisecond
	randomIDLength         = 10 // characters of the random suffix of a generated operation id
)

// operationFlags are the flags that say how to carry out an operation.
type operationFlags struct {
	id      string
	options fleet.Options
	dryRun  bool

	wait        bool
	waitTimeout time.Duration
}

func (o *operationFlags) addFlags(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&o.id, "operation", "", "id of the operation; submitting the same id again changes nothing (default: a new id)")
	flags.IntVar(&o.options.WaveSize, "at-once", 1, "number of instances in progress at the same time")
	flags.DurationVar(&o.options.Deadline, "deadline", time.Hour, "the operation fails if it does not end within this time")
	flags.DurationVar(&o.options.StepTimeout, "step-within", 0, "an instance fails if it does not reach the desired state within this time after it accepts the command")
	flags.StringVar((*string)(&o.options.OnFailure), "on-failure", string(fleet.PauseOnFailure), "what to do if an instance fails: pause, abort or continue")
	flags.BoolVar(&o.dryRun, "dry-run", false, "print the waves and submit nothing")
	flags.BoolVar(&o.wait, "wait", false, "wait until the operation ends or pauses; exit with 7 if it did not succeed")
	flags.DurationVar(&o.waitTimeout, "wait-within", time.Hour, "maximum time to wait with --wait")
}

func (o *operationFlags) addDrainFlags(c *cobra.Command) {
	flags := c.Flags()
	flags.DurationVar(&o.options.DrainTimeout, "within", 30*time.Second, "time within which an instance closes its connections")
	flags.DurationVar(&o.options.RetryAfter, "retry-after", time.Second, "time after which rejected clients may retry")
	flags.IntVar(&o.options.MaxUnavailable, "max-unavailable", 0, "maximum number of unavailable instances (default: half of all)")
	flags.IntVar(&o.options.MaxUnavailablePerZone, "max-unavailable-zone", 0, "maximum number of unavailable instances in a zone (default: all but one)")
	flags.BoolVar(&o.options.AllowEmptyZone, "empty-zone", false, "allow a zone without available instances")
}

// submit submits an operation to the agent. With --wait it waits until the operation ends or pauses; with --dry-run it only
// prints the waves.
func (o *operationFlags) submit(c *cobra.Command, client *agentClient, request fleet.Request) error {
	if o.dryRun {
		return printWaves(c.OutOrStdout(), client, fleet.Waves(request.Targets, o.options.WaveSize))
	}
	request.ID = o.id
	if request.ID == "" {
		request.ID = fmt.Sprintf("%s-%s", request.Kind, strings.ToLower(rand.Text()[:randomIDLength]))
	}
	request.Options = o.options
	var operation fleet.Operation
	if err := client.call(c.Context(), http.MethodPost, "/v1/operations", request, &operation); err != nil {
		return err
	}
	if o.wait {
		return o.waitForEnd(c, client, operation.ID)
	}
	return printOperation(c.OutOrStdout(), client, &operation)
}

func printWaves(w io.Writer, client *agentClient, waves [][]string) error {
	if client.json {
		return printJSON(w, waves, agentJSONIndent)
	}
	for i, wave := range waves {
		fmt.Fprintf(w, "wave %d: %s\n", i+1, strings.Join(wave, " "))
	}
	return nil
}

// waitForEnd checks the state of an operation periodically until it ends or pauses. It tolerates a restart of the agent.
func (o *operationFlags) waitForEnd(c *cobra.Command, client *agentClient, id string) error {
	ctx, stop := untilSignal(c)
	defer stop()
	deadline := time.Now().Add(o.waitTimeout)
	for {
		operation, err := client.operation(ctx, http.MethodGet, id, "")
		var remote *control.RemoteError
		switch {
		case errors.As(err, &remote):
			return err
		case err == nil && (operation.State.Ended() || operation.State == fleet.Paused):
			return reportEnd(c.OutOrStdout(), client, &operation)
		case time.Now().After(deadline):
			return &exitError{ExitUnhealthy, fmt.Errorf("operation %s: still in progress after %s", id, o.waitTimeout)}
		}
		select {
		case <-ctx.Done():
			return &exitError{ExitUnhealthy, fmt.Errorf("operation %s: still in progress", id)}
		case <-time.After(operationCheckInterval):
		}
	}
}

// reportEnd prints an operation that has ended or paused, and returns an error if it did not succeed.
func reportEnd(w io.Writer, client *agentClient, operation *fleet.Operation) error {
	if err := printOperation(w, client, operation); err != nil {
		return err
	}
	if operation.State == fleet.Succeeded {
		return nil
	}
	return &exitError{ExitUnhealthy, fmt.Errorf("operation %s: %s: %s", operation.ID, operation.State, operation.Reason)}
}

func printOperation(w io.Writer, client *agentClient, operation *fleet.Operation) error {
	if client.json {
		return printJSON(w, operation, agentJSONIndent)
	}
	fmt.Fprintf(w, "operation %s (%s, fence %d): %s %s\n",
		operation.ID, operation.Kind, operation.Fence, operation.State, operation.Reason)
	table := newTable(w)
	for _, name := range operation.Targets {
		step := operation.Steps[name]
		fmt.Fprintf(table, "  %s\t%s\t%s\n", name, step.State, step.Reason)
	}
	return table.Flush()
}
