package cli

import "github.com/spf13/cobra"

func loadCommand() *cobra.Command {
	return group("load", "Generate load on nodes and measure what clients get",
		"load generates open-loop load: it sends every request at its scheduled time, whether or not earlier requests have\n"+
			"ended, and measures latencies from that time.\n\n"+exitStatusHelp,
		loadRunCommand(), loadReplayCommand(), loadRecordCommand(), loadCompareCommand(), loadPlotCommand(), loadStandCommand())
}
