package cli

import (
	"fmt"
	"io"
	"net/http"

	"github.com/spf13/cobra"

	"onyxstream/internal/fleet"
)

func operationsCommand() *cobra.Command {
	client := &agentClient{}
	c := group("operations", "List, show, abort and continue operations", "",
		operationsListCommand(client),
		operationsActionCommand(client, "show", "Show an operation and its instances", http.MethodGet, ""),
		operationsActionCommand(client, "abort", "Abort an operation; accepted commands remain in force", http.MethodPost, "/abort"),
		operationsActionCommand(client, "continue", "Continue a paused operation", http.MethodPost, "/continue"))
	client.addFlags(c)
	return c
}

func operationsListCommand(client *agentClient) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List operations, newest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var operations []fleet.Operation
			if err := client.call(c.Context(), http.MethodGet, "/v1/operations", nil, &operations); err != nil {
				return err
			}
			if client.json {
				return printJSON(c.OutOrStdout(), operations, agentJSONIndent)
			}
			return printOperations(c.OutOrStdout(), operations)
		},
	}
}

func printOperations(w io.Writer, operations []fleet.Operation) error {
	table := newTable(w)
	fmt.Fprintln(table, "OPERATION\tKIND\tFENCE\tSTATE\tINSTANCES\tDONE\tFAILED\tREASON")
	for _, o := range operations {
		steps := o.CountSteps()
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n",
			o.ID, o.Kind, o.Fence, o.State, len(o.Steps), steps[fleet.StepDone], steps[fleet.StepFailed], o.Reason)
	}
	return table.Flush()
}

// operationsActionCommand returns a command that gets an operation from the agent, or posts an action on it, and prints
// it.
func operationsActionCommand(client *agentClient, verb, short, method, action string) *cobra.Command {
	return &cobra.Command{
		Use:   verb + " OPERATION",
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			operation, err := client.operation(c.Context(), method, args[0], action)
			if err != nil {
				return err
			}
			return printOperation(c.OutOrStdout(), client, &operation)
		},
	}
}
