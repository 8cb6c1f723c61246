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
		Short: "Replay a trace, at any speed",
		Long: "replay sends the requests of a trace (CSV or JSON Lines, gzip or not; docs/load.md describes it) in their order and\n" +
			"spacing. It reads the whole trace before it sends the first request, so that an invalid trace fails at once. With\n" +
			"--scenario the classes, clients, faults and fleet are the scenario's.\n\n" + exitStatusHelp,
		Example: "  onyxstream load replay tuesday.csv.gz --speed 3 --scenario examples/steady.toml -o tuesday.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			isValid := speed > 0 && speed <= maxReplaySpeed // false for NaN
			if !isValid {
				return usageError(fmt.Errorf("--speed: %g is not above 0 and up to %d", speed, maxReplaySpeed))
			}
			scenario, text, err := replayScenario(scenarioPath, args[0], deadline)
			if err != nil {
				return err
			}
			return flags.run(c, scenario, text, loadtest.PlayOptions{Trace: args[0], Speed: speed})
		},
	}
	flags.addFlags(c)
	c.Flags().Float64Var(&speed, "speed", 1, "times the trace's own speed")
	c.Flags().StringVar(&scenarioPath, "scenario", "", "file with the clients, classes and fleet")
	c.Flags().DurationVar(&deadline, "deadline", defaultReplayDeadline, "how long clients wait, without a scenario")
	return c
}

// replayScenario reads the scenario of a replay, or makes one from the trace if there is none.
func replayScenario(path, trace string, deadline time.Duration) (*loadtest.Scenario, []byte, error) {
	if path != "" {
		return loadtest.ReadScenario(path)
	}
	scenario, err := loadtest.ReplayScenario(trace, deadline)
	return scenario, nil, err
}
