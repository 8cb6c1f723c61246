package cli

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/loadtest"
)

const (
	maxReplaySpeed        = 1000
	defaultReplayDeadline = 3 * time.Second
)

func loadReplayCommand() *cobra.Command {
	flags := &loadFlags{}
	var speed float64
	var scenarioPath string
	var deadline time.Duration
	c := &cobra.Command{
		Use:   "replay TRACE",
		Short: "Replay a trace at any speed",
		Long: "replay sends the requests of a trace in their recorded order and spacing. A trace is CSV or JSON Lines, optionally\n" +
			"compressed with gzip; docs/load.md describes it. replay reads the whole trace before it sends the first request, so\n" +
			"that an invalid trace fails at once. With --scenario, classes, clients, faults and fleet come from the scenario.\n\n" + exitStatusHelp,
		Example: "  onyxstream load replay tuesday.csv.gz --speed 3 --scenario examples/steady.toml -o tuesday.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			isValid := speed > 0 && speed <= maxReplaySpeed // false for NaN
			if !isValid {
				return usageError(fmt.Errorf("--speed: %g out of range: must be above 0 and at most %d", speed, maxReplaySpeed))
			}
			scenario, text, err := replayScenario(scenarioPath, args[0], deadline)
			if err != nil {
				return err
			}
			return flags.run(c, scenario, text, loadtest.PlayOptions{Trace: args[0], Speed: speed})
		},
	}
	flags.addFlags(c)
	c.Flags().Float64Var(&speed, "speed", 1, "speed as a multiple of the recorded speed")
	c.Flags().StringVar(&scenarioPath, "scenario", "", "scenario file with classes, clients, faults and fleet")
	c.Flags().DurationVar(&deadline, "deadline", defaultReplayDeadline, "deadline of requests, if there is no --scenario")
	return c
}

// replayScenario reads the scenario at path, or derives one from the trace if path is empty.
func replayScenario(path, trace string, deadline time.Duration) (*loadtest.Scenario, []byte, error) {
	if path != "" {
		return loadtest.ReadScenario(path)
	}
	scenario, err := loadtest.ReplayScenario(trace, deadline)
	return scenario, nil, err
}
