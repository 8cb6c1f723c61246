package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"onyxstream/internal/loadtest"
	"onyxstream/internal/loadtest/page"
)

// The keys of a result's outcomes.
const (
	outcomeServed   = "served"
	outcomeRejected = "refused"
)

// The shape of HdrHistogram's text format: lines for each halving of the rest, and microseconds in a unit.
const (
	hdrTicksPerHalf = 5
	hdrUnit         = 1000
)

func writePage(path string, result *loadtest.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(page.Write(file, result), file.Close())
}

func writeHDR(path string, result *loadtest.Result) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, requestPath := range result.Paths() {
		if err := writePathHDR(file, result, requestPath); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	return file.Close()
}

func writePathHDR(w io.Writer, result *loadtest.Result, requestPath string) error {
	total, err := result.Aggregate(requestPath)
	if err != nil {
		return err
	}
	summary := total.Latency[outcomeServed]
	histogram, err := summary.Histogram()
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "#[path %s, served, ms]\n", requestPath)
	_, err = histogram.PercentilesPrint(w, hdrTicksPerHalf, hdrUnit)
	return err
}

// printResult prints the main figures of a result.
func printResult(w io.Writer, result *loadtest.Result) error {
	table := newNumberTable(w)
	fmt.Fprintln(table, "class\tpath\trequests\tserved\trejected\tfailed\tp50 ms\tp99 ms\tmax ms\tservice p99\tbroken\tmoved\t")
	for i := range result.Classes {
		printClass(table, &result.Classes[i])
	}
	for _, path := range result.Paths() {
		total, err := result.Aggregate(path)
		if err != nil {
			return err
		}
		printClass(table, &total)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	printTotals(w, result)
	return nil
}

func printClass(w io.Writer, class *loadtest.ClassResult) {
	served := class.Outcomes[outcomeServed]
	rejected := class.Outcomes[outcomeRejected]
	failed := class.Requests - served - rejected
	latency := class.Latency[outcomeServed]
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%d\t%d\t\n",
		class.Class, class.Path, class.Requests, served, rejected, failed,
		latency.P50, latency.P99, latency.Max, class.Service.P99, class.Broken, class.Migrated)
}

func printTotals(w io.Writer, result *loadtest.Result) {
	fmt.Fprintf(w, "generator: %.3f ms late at the 99th percentile, %.3f ms at most\n", result.Lateness.P99, result.Lateness.Max)
	if result.Nodes != nil {
		fmt.Fprintf(w, "nodes: %.2f s of CPU, %.0f MB at most\n", result.Nodes.CPU.Seconds(), result.Nodes.PeakMB)
	}
	if result.ListService != nil {
		fmt.Fprintf(w, "list service: %d calls, %d rejected, %d within 100 ms at most\n",
			result.ListService.Requests, result.ListService.Rejected, result.ListService.MaxIn100ms)
	}
	if result.WrongReceipts > 0 {
		fmt.Fprintf(w, "%d receipts that no host had made\n", result.WrongReceipts)
	}
}
