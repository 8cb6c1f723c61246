package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"onyxstream/internal/loadtest"
	"onyxstream/internal/loadtest/page"
)

// Keys of outcomes in a result.
const (
	outcomeServed   = "served"
	outcomeRejected = "refused"
)

// Parameters of HdrHistogram's text format, which prints hdrTicksPerHalfDistance lines each time the distance to 100%
// halves. Values are recorded in microseconds and printed in milliseconds.
const (
	hdrTicksPerHalfDistance = 5
	hdrMicrosecondsPerUnit  = 1000
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
	_, err = histogram.PercentilesPrint(w, hdrTicksPerHalfDistance, hdrMicrosecondsPerUnit)
	return err
}

// printResult prints the main figures of a result as a table.
func printResult(w io.Writer, result *loadtest.Result) error {
	table := newNumberTable(w)
	fmt.Fprintln(table, "class\tpath\trequests\tserved\trejected\tfailed\tp50 ms\tp99 ms\tmax ms\tservice p99\tbroken\tmigrated\t")
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
	fmt.Fprintf(w, "generator: %.3f ms late at the 99th percentile, at most %.3f ms\n", result.Lateness.P99, result.Lateness.Max)
	if result.Nodes != nil {
		fmt.Fprintf(w, "nodes: %.2f s of CPU time, at most %.0f MB of memory\n", result.Nodes.CPU.Seconds(), result.Nodes.PeakMB)
	}
	if result.Discovery != nil {
		fmt.Fprintf(w, "discovery: %d list requests, %d rejected, at most %d within 100 ms\n",
			result.Discovery.Requests, result.Discovery.Rejected, result.Discovery.MaxIn100ms)
	}
	if result.WrongReceipts > 0 {
		fmt.Fprintf(w, "%d receipts that no host issued\n", result.WrongReceipts)
	}
}
