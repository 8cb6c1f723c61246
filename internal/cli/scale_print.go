package cli

import (
	"fmt"
	"io"
	"time"

	"onyxstream/internal/scaletest"
)

// printScale prints the samples, the cost ratios of simulated to real nodes, and the estimates for the target size.
func printScale(w io.Writer, result scaletest.Result) error {
	table := newNumberTable(w)
	printSamples(table, result.Samples)
	printRatios(table, result.Ratios)
	printFits(table, result)
	if result.Shortage != "" {
		fmt.Fprintf(table, "\nincomplete measurement: %s\n", result.Shortage)
	}
	return table.Flush()
}

func printSamples(w io.Writer, samples []scaletest.Sample) {
	fmt.Fprintln(w, "nodes\tkind\tphase\tbytes/s\tmessages/s\tcore %\tMB\tmedian\tp99\tlast\tmissing\t")
	for _, sample := range samples {
		printPhase(w, &sample, "idle", sample.Idle)
		printPhase(w, &sample, "changes", sample.Changes)
		printPhase(w, &sample, "restart", sample.Restart)
	}
}

func printPhase(w io.Writer, sample *scaletest.Sample, name string, phase scaletest.Phase) {
	fmt.Fprintf(w, "%d\t%s\t%s\t%.0f\t%.2f\t%.3f\t%.2f\t%v\t%v\t%v\t%d\t\n",
		sample.Nodes, sample.Kind, name, phase.BytesPerS, phase.MessagesPerS, 100*phase.Cores, sample.MemoryMB,
		toMillis(phase.Latency.Median), toMillis(phase.Latency.P99), toMillis(phase.Latency.Max), phase.Latency.Missing)
}

func printRatios(w io.Writer, ratios []scaletest.CostRatios) {
	fmt.Fprintln(w, "\nsimulated / real\t\tbytes\tmessages\tcore\tmemory\tmedian\t")
	for _, r := range ratios {
		fmt.Fprintf(w, "%d\t\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", r.Nodes, r.Bytes, r.Messages, r.Cores, r.Memory, r.Median)
	}
}

func printFits(w io.Writer, result scaletest.Result) {
	fmt.Fprintf(w, "\nfor all nodes\tbase\tper node\tR2\tsizes\tspread\tat %d nodes\tbudget\tfits\t\n", result.Spec.Target.Nodes)
	for _, fit := range result.Fits {
		budget, verdict := "-", "-"
		if fit.Budget > 0 {
			budget = fmt.Sprintf("%.4g", fit.Budget)
			verdict = "NO"
		}
		if fit.Budget > 0 && fit.WithinBudget {
			verdict = "yes"
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.3f\t%d\t%.0f\t%.4g\t%s\t%s\t\n",
			fit.Metric, fit.Intercept, fit.Slope, fit.R2, fit.Samples, fit.SizeRatio, fit.AtTarget, budget, verdict)
	}
}

// toMillis rounds a duration to milliseconds.
func toMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
