package cli

import (
	"fmt"
	"io"
	"strconv"

	"github.com/spf13/cobra"

	"onyxstream/internal/coldstart"
	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

func instancesCommand() *cobra.Command {
	client := &agentClient{}
	c := group("instances", "List, check, drain and resume instances", "",
		instancesListCommand(client),
		instancesCheckCommand(client),
		instancesWatchCommand(client),
		instancesOperationCommand(client, control.Drain, "Stop admitting requests and move clients to other instances"),
		instancesOperationCommand(client, control.Resume, "Admit requests on drained instances again"))
	client.addFlags(c)
	return c
}

func instancesListCommand(client *agentClient) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List instances and their states",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			views, err := client.instances(c.Context())
			if err != nil {
				return err
			}
			if client.json {
				return printJSON(c.OutOrStdout(), views, agentJSONIndent)
			}
			return printInstances(c.OutOrStdout(), views)
		},
	}
}

// selectionFlags are the flags that select instances.
type selectionFlags struct{ fleet.Selector }

func (s *selectionFlags) addFlags(c *cobra.Command) {
	c.Flags().StringSliceVar(&s.Zones, "zone", nil, "instances of these zones")
	c.Flags().StringSliceVar(&s.Labels, "label", nil, "instances with this label, key=value")
	c.Flags().BoolVar(&s.All, "all", false, "all instances")
}

// isEmpty reports whether no names, zones or labels are given.
func (s *selectionFlags) isEmpty(names []string) bool {
	return len(names)+len(s.Zones)+len(s.Labels) == 0
}

// selectNames returns the names of the instances that match the flags and the names on the command line.
func (s *selectionFlags) selectNames(views []fleet.View, names []string) ([]string, error) {
	var instances []fleet.Instance
	for _, view := range views {
		instances = append(instances, view.Instance)
	}
	s.Names = names
	selected, err := fleet.Select(instances, s.Selector)
	return selected, usageError(err)
}

func printInstances(w io.Writer, views []fleet.View) error {
	table := newTable(w)
	fmt.Fprintln(table, "NAME\tZONE\tREACH\tSTATE\tLIST\tCONNECTIONS\tIN-FLIGHT\tLAST-SEEN\tOPERATION\tREASON")
	for _, view := range views {
		state, connections, inFlight := "-", "-", "-"
		if view.Status.Incarnation != "" {
			state = string(view.Status.State)
			connections = strconv.FormatInt(view.Status.Established, 10)
			inFlight = strconv.FormatInt(view.Status.InFlight, 10)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1fs ago\t%s\t%s\n",
			view.Name, view.Zone, view.Reachability, state, describeList(view), connections, inFlight,
			float64(view.AgeMS)/1000, orDash(view.Operation), view.LastError)
	}
	return table.Flush()
}

// describeList describes the endpoint list of an instance with cold start: its state, source and age. It returns "-" for
// an instance without cold start.
func describeList(view fleet.View) string {
	list := view.Status.List
	switch {
	case view.Status.Incarnation == "" || list == nil:
		return "-"
	case list.Source == "":
		return fmt.Sprintf("none, %d list requests", list.ListRequests)
	case list.AgeSeconds >= coldstart.UnknownAge.Seconds():
		return fmt.Sprintf("%s (%s, age unknown)", list.State, list.Source)
	}
	return fmt.Sprintf("%s (%s, %.1fs)", list.State, list.Source, list.AgeSeconds)
}
