package cli

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"onyxstream/internal/coldstart"
	"onyxstream/internal/control"
	"onyxstream/internal/fleet"
)

// selecting are the flags that say which instances are meant.
type selecting struct{ fleet.Selector }

func (s *selecting) add(c *cobra.Command) {
	c.Flags().StringSliceVar(&s.Zones, "zone", nil, "instances of these zones")
	c.Flags().StringSliceVar(&s.Labels, "label", nil, "instances with this label, key=value")
	c.Flags().BoolVar(&s.All, "all", false, "all instances")
}

func (s *selecting) pick(views []fleet.View, names []string) ([]string, error) {
	var list []fleet.Instance
	for _, v := range views {
		list = append(list, v.Instance)
	}
	s.Names = names
	out, err := fleet.Select(list, s.Selector)
	return out, usage(err)
}

func instancesCommand() *cobra.Command {
	a := &asking{}
	c := group("instances", "List, check, drain and resume instances", instancesList(a), instancesCheck(a), instancesWatch(a),
		instancesOrder(a, control.Drain), instancesOrder(a, control.Resume))
	a.add(c)
	return c
}

func instancesList(a *asking) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "List instances and how they are", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var views []fleet.View
			if err := a.call(c.Context(), http.MethodGet, "/v1/instances", nil, &views); err != nil {
				return err
			}
			if a.json {
				return printJSON(c.OutOrStdout(), views)
			}
			return listed(c.OutOrStdout(), views)
		}}
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(v)
}

func listed(out io.Writer, views []fleet.View) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tZONE\tREACH\tSTATE\tLIST\tOPEN\tOWED\tHEARD\tOPERATION\tWHY")
	for _, v := range views {
		state, open, owed := v.Status.State, strconv.FormatInt(v.Status.Established, 10), strconv.FormatInt(v.Status.InFlight, 10)
		if v.Status.Boot == "" {
			state, open, owed = "-", "-", "-"
		}
		op := v.Operation
		if op == "" {
			op = "-"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1fs ago\t%s\t%s\n", v.Name, v.Zone, v.Reachability, state, listState(v), open, owed, float64(v.AgeMS)/1000, op, v.LastError)
	}
	return w.Flush()
}

// listState says which part of its cold start an instance is in: what list it holds, from where, and how old.
func listState(v fleet.View) string {
	l := v.Status.List
	switch {
	case v.Status.Boot == "" || l == nil:
		return "-"
	case l.Source == "":
		return fmt.Sprintf("none, %d calls", l.Calls)
	case l.AgeSeconds >= coldstart.UnknownAge.Seconds():
		return fmt.Sprintf("%s (%s, age unknown)", l.State, l.Source)
	}
	return fmt.Sprintf("%s (%s, %.1fs)", l.State, l.Source, l.AgeSeconds)
}

func instancesCheck(a *asking) *cobra.Command {
	s := &selecting{}
	c := &cobra.Command{Use: "check [NAME...]", Short: "Say which instances are not well; exit with 7 where any is not",
		Example: "  onyxstream instances check --all\n  onyxstream instances check --zone cardiff --json",
		RunE: func(c *cobra.Command, names []string) error {
			var views, bad []fleet.View
			if err := a.call(c.Context(), http.MethodGet, "/v1/instances", nil, &views); err != nil {
				return err
			}
			if len(names)+len(s.Zones)+len(s.Labels) == 0 {
				s.All = true
			}
			picked, err := s.pick(views, names)
			if err != nil {
				return err
			}
			at := map[string]bool{}
			for _, name := range picked {
				at[name] = true
			}
			for _, v := range views {
				if at[v.Name] && (v.Reachability != fleet.Up || v.Status.State != control.Serving) {
					bad = append(bad, v)
				}
			}
			switch {
			case a.json:
				err = printJSON(c.OutOrStdout(), bad)
			case len(bad) == 0:
				fmt.Fprintf(c.OutOrStdout(), "%d instances serve\n", len(picked))
			default:
				err = listed(c.OutOrStdout(), bad)
			}
			if err == nil && len(bad) > 0 {
				return &status{ExitNotWell, fmt.Errorf("%d of %d instances are not well", len(bad), len(picked))}
			}
			return err
		}}
	s.add(c)
	return c
}

func instancesWatch(a *asking) *cobra.Command {
	return &cobra.Command{Use: "watch", Short: "Print instances again with each change, until a signal", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cl, err := control.Dial("unix:"+a.socket, nil)
			if err != nil {
				return err
			}
			defer cl.Close()
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			err = cl.Stream(ctx, "/v1/watch", func(line []byte) bool {
				if a.json {
					fmt.Fprintf(c.OutOrStdout(), "%s\n", line)
					return true
				}
				var views []fleet.View
				if json.Unmarshal(line, &views) != nil {
					return false
				}
				fmt.Fprintln(c.OutOrStdout(), time.Now().Format("15:04:05.000"))
				return listed(c.OutOrStdout(), views) == nil
			})
			if ctx.Err() != nil {
				return nil
			}
			return a.explain(err)
		}}
}

// ordering are the flags of an operation.
type ordering struct {
	id         string
	options    fleet.Options
	dry, wait  bool
	waitWithin time.Duration
}

func (o *ordering) add(c *cobra.Command, drain bool) {
	f := c.Flags()
	f.StringVar(&o.id, "operation", "", "name of the operation: the same again changes nothing (default: a new one)")
	f.IntVar(&o.options.WaveSize, "at-once", 1, "instances under way at one time")
	f.DurationVar(&o.options.Deadline, "deadline", time.Hour, "the operation fails where it has not ended by then")
	f.DurationVar(&o.options.StepTimeout, "step-within", 0, "an instance fails where it is not as told by then")
	f.StringVar((*string)(&o.options.OnFailure), "on-failure", "pause", "pause, abort or continue where an instance fails")
	f.BoolVar(&o.dry, "dry-run", false, "show the waves and order nothing")
	f.BoolVar(&o.wait, "wait", false, "wait for the end; exit with 7 where it did not succeed")
	f.DurationVar(&o.waitWithin, "wait-within", time.Hour, "with --wait, wait no longer")
	if drain {
		f.DurationVar(&o.options.DrainTimeout, "within", 30*time.Second, "an instance sends all its clients away by then")
		f.DurationVar(&o.options.RetryAfter, "retry-after", time.Second, "what those who are turned away are told")
		f.IntVar(&o.options.MaxUnavailable, "max-unavailable", 0, "instances not available at one time (default: half of all)")
		f.IntVar(&o.options.MaxUnavailablePerZone, "max-unavailable-zone", 0, "the same in each zone (default: all but one)")
		f.BoolVar(&o.options.AllowEmptyZone, "empty-zone", false, "a zone may be left with no instance")
	}
}

func instancesOrder(a *asking, kind control.CommandKind) *cobra.Command {
	s, o := &selecting{}, &ordering{}
	c := &cobra.Command{
		Use:   string(kind) + " [NAME...]",
		Short: map[control.CommandKind]string{control.Drain: "Have instances take nothing new and send their clients away", control.Resume: "Have drained instances take clients again"}[kind],
		Long: "Instances are told in waves of --at-once. Names may be patterns as of a shell; with --zone and --label all must fit.\n\n" +
			statuses,
		Example: "  onyxstream instances " + string(kind) + " n2 --wait\n  onyxstream instances " + string(kind) + " --zone cardiff --at-once 2 --dry-run",
		RunE: func(c *cobra.Command, names []string) error {
			var views []fleet.View
			if err := a.call(c.Context(), http.MethodGet, "/v1/instances", nil, &views); err != nil {
				return err
			}
			targets, err := s.pick(views, names)
			if err != nil {
				return err
			}
			return o.order(c, a, fleet.Request{Kind: kind, Targets: targets})
		}}
	s.add(c)
	o.add(c, kind == control.Drain)
	return c
}

// order gives an order to the agent, and waits for its end where asked to.
func (o *ordering) order(c *cobra.Command, a *asking, r fleet.Request) error {
	if o.dry {
		waves := fleet.Waves(r.Targets, o.options.WaveSize)
		if a.json {
			return printJSON(c.OutOrStdout(), waves)
		}
		for i, w := range waves {
			fmt.Fprintf(c.OutOrStdout(), "wave %d: %s\n", i+1, strings.Join(w, " "))
		}
		return nil
	}
	if r.ID = o.id; r.ID == "" {
		r.ID = string(r.Kind) + "-" + strings.ToLower(rand.Text()[:10])
	}
	r.Options = o.options
	var op fleet.Operation
	if err := a.call(c.Context(), http.MethodPost, "/v1/operations", r, &op); err != nil {
		return err
	}
	if o.wait {
		return o.waitFor(c, a, op.ID)
	}
	return showOperation(c.OutOrStdout(), a, &op)
}

// waitFor follows an operation to its end, over an agent that restarts meanwhile.
func (o *ordering) waitFor(c *cobra.Command, a *asking, id string) error {
	ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	end := time.Now().Add(o.waitWithin)
	for {
		var op fleet.Operation
		err := a.call(ctx, http.MethodGet, "/v1/operations/"+id, nil, &op)
		var remote *control.RemoteError
		switch {
		case errors.As(err, &remote):
			return err
		case err == nil && (op.State.Ended() || op.State == fleet.Paused):
			if err := showOperation(c.OutOrStdout(), a, &op); err != nil {
				return err
			}
			if op.State != fleet.Succeeded {
				return &status{ExitNotWell, fmt.Errorf("operation %s is %s: %s", id, op.State, op.Reason)}
			}
			return nil
		case time.Now().After(end):
			return &status{ExitNotWell, fmt.Errorf("operation %s has not ended after %s; it goes on", id, o.waitWithin)}
		}
		select {
		case <-ctx.Done():
			return &status{ExitNotWell, fmt.Errorf("operation %s goes on", id)}
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func showOperation(out io.Writer, a *asking, op *fleet.Operation) error {
	if a.json {
		return printJSON(out, op)
	}
	fmt.Fprintf(out, "operation %s (%s, fence %d): %s %s\n", op.ID, op.Kind, op.Fence, op.State, op.Reason)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range op.Targets {
		fmt.Fprintf(w, "  %s\t%s\t%s\n", name, op.Steps[name].State, op.Steps[name].Reason)
	}
	return w.Flush()
}

func hostsCommand() *cobra.Command {
	a := &asking{}
	verb := func(kind control.CommandKind, use, short string) *cobra.Command {
		s, o := &selecting{}, &ordering{}
		c := &cobra.Command{Use: use + " HOST", Short: short, Args: cobra.ExactArgs(1),
			Example: "  onyxstream hosts " + use + " s-5be2a07c --all --wait",
			RunE: func(c *cobra.Command, args []string) error {
				var views []fleet.View
				if err := a.call(c.Context(), http.MethodGet, "/v1/instances", nil, &views); err != nil {
					return err
				}
				if len(s.Zones)+len(s.Labels) == 0 {
					s.All = true
				}
				targets, err := s.pick(views, nil)
				if err != nil {
					return err
				}
				return o.order(c, a, fleet.Request{Kind: kind, Host: args[0], Targets: targets})
			}}
		s.add(c)
		o.add(c, false)
		return c
	}
	c := group("hosts", "Tell instances that a host drains, whatever the list says",
		verb(control.HostDrain, "drain", "Have instances send a host nothing new"),
		verb(control.HostResume, "resume", "Take that word back"))
	a.add(c)
	return c
}

func operationsCommand() *cobra.Command {
	a := &asking{}
	list := &cobra.Command{Use: "list", Short: "List operations, the newest first", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var ops []fleet.Operation
			if err := a.call(c.Context(), http.MethodGet, "/v1/operations", nil, &ops); err != nil {
				return err
			}
			if a.json {
				return printJSON(c.OutOrStdout(), ops)
			}
			w := tabwriter.NewWriter(c.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "OPERATION\tKIND\tFENCE\tSTATE\tINSTANCES\tDONE\tFAILED\tWHY")
			for _, o := range ops {
				n := map[fleet.StepState]int{}
				for _, s := range o.Steps {
					n[s.State]++
				}
				fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%d\t%d\t%s\n", o.ID, o.Kind, o.Fence, o.State, len(o.Steps), n[fleet.StepDone],
					n[fleet.StepFailed], o.Reason)
			}
			return w.Flush()
		}}
	one := func(use, short, method, tail string) *cobra.Command {
		return &cobra.Command{Use: use + " OPERATION", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				var op fleet.Operation
				if err := a.call(c.Context(), method, "/v1/operations/"+args[0]+tail, nil, &op); err != nil {
					return err
				}
				return showOperation(c.OutOrStdout(), a, &op)
			}}
	}
	c := group("operations", "List, show, abort and continue operations", list,
		one("show", "Show an operation, instance by instance", http.MethodGet, ""),
		one("abort", "Begin nothing more for an operation; what was told holds", http.MethodPost, "/abort"),
		one("continue", "Go on with an operation that is paused", http.MethodPost, "/continue"))
	a.add(c)
	return c
}
