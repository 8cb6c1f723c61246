package cli

import "github.com/spf13/cobra"

func loadCommand() *cobra.Command {
	return group("load", "Put load on nodes and measure what clients get",
		"load sends every request at its scheduled time, whatever became of earlier ones, and measures latencies from that\n"+
			"time.\n\n"+exitStatusHelp,
		loadRunCommand(), loadReplayCommand(), loadRecordCommand(), loadCompareCommand(), loadPlotCommand(), loadStandCommand())
}
