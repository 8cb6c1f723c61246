package page

import (
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"onyxstream/internal/loadtest"
	"onyxstream/internal/testcluster"
)

var colors = []color.Color{
	color.RGBA{0x1f, 0x5f, 0xa8, 0xff}, color.RGBA{0xc4, 0x4e, 0x1c, 0xff}, color.RGBA{0x2a, 0x86, 0x4b, 0xff},
	color.RGBA{0x84, 0x3c, 0x96, 0xff}, color.RGBA{0x6b, 0x5a, 0x1e, 0xff}, color.RGBA{0x33, 0x88, 0x8c, 0xff},
}

const (
	// headroom is the factor by which the y axis extends above the lines, to leave space for the legend.
	headroom = 1.45
	// logHeadroom is the corresponding factor for a logarithmic y axis.
	logHeadroom = 4
	// maxEventLines bounds the number of fleet events that a plot shows. The table lists all of them.
	maxEventLines = 40

	lineWidth      = 1.4 // in points
	thinLineWidth  = 1   // in points
	eventLineWidth = 0.7 // in points
)

var dashes = []vg.Length{vg.Points(4), vg.Points(3)}

func newPlot(xLabel, yLabel string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text = xLabel
	p.Y.Label.Text = yLabel
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

// addLine adds a line with a legend entry. Without points it adds nothing.
func addLine(p *plot.Plot, name string, colorIndex int, dashed bool, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = colors[colorIndex%len(colors)]
	line.Width = vg.Points(lineWidth)
	if dashed {
		line.Dashes = dashes
	}
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// addThinLine adds a thin dashed line without a legend entry. Without points it adds nothing.
func addThinLine(p *plot.Plot, colorIndex int, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = colors[colorIndex%len(colors)]
	line.Width = vg.Points(thinLineWidth)
	line.Dashes = dashes
	p.Add(line)
	return nil
}

// plotPercentiles plots the latency distribution of each class, and as a thin line the service time distribution of its
// served attempts. The x axis is -log10(1-percentile/100), which stretches the tail.
func plotPercentiles(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("percentile", "ms")
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 1, Label: "90"}, {Value: 2, Label: "99"},
		{Value: 3, Label: "99.9"}, {Value: 4, Label: "99.99"}}
	p.Y.Min = 0.1
	p.Y.Max = 1
	for i, c := range r.Classes {
		latency, err := percentilePoints(c.Latency[loadtest.Served.String()])
		if err != nil {
			return nil, err
		}
		name := c.Class
		if c.Path != "node" {
			name += " (" + c.Path + ")"
		}
		if err := addLine(p, name, i, false, latency); err != nil {
			return nil, err
		}
		service, err := percentilePoints(c.Service)
		if err != nil {
			return nil, err
		}
		if err := addThinLine(p, i, service); err != nil {
			return nil, err
		}
	}
	p.Y.Max *= logHeadroom
	return p, nil
}

// percentilePoints returns the points of a distribution, in milliseconds, up to the highest percentile that its sample
// count supports.
func percentilePoints(s loadtest.Summary) (points plotter.XYs, err error) {
	const maxX, step, minMS = 4.0, 0.02, 0.001
	h, err := s.Histogram()
	if err != nil {
		return nil, err
	}
	for x := 0.0; x <= maxX && h.TotalCount() > 0; x += step {
		share := 1 - math.Pow(10, -x)
		if 1-share < 1/float64(h.TotalCount()) {
			break
		}
		ms := float64(h.ValueAtPercentile(100*share)) / 1000
		points = append(points, plotter.XY{X: x, Y: math.Max(ms, minMS)})
	}
	return points, nil
}

// timelinePoints returns the points of a figure over time, up to the last interval with any requests, reconnects or
// connections.
func timelinePoints(r *loadtest.Result, figure func(*loadtest.Interval) float64) (points plotter.XYs) {
	end := len(r.Timeline)
	for end > 0 && r.Timeline[end-1].Intended+r.Timeline[end-1].Reconnects+r.Timeline[end-1].Open == 0 {
		end--
	}
	for i := range end {
		points = append(points, plotter.XY{X: r.Timeline[i].At, Y: figure(&r.Timeline[i])})
	}
	return points
}

func plotOutcomes(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("s", "requests per second")
	for i, line := range []struct {
		name  string
		count func(*loadtest.Interval) int64
	}{
		{"intended", func(s *loadtest.Interval) int64 { return s.Intended }},
		{"served", func(s *loadtest.Interval) int64 { return s.Outcomes[loadtest.Served.String()] }},
		{"refused", func(s *loadtest.Interval) int64 { return s.Outcomes[loadtest.Rejected.String()] }},
		{"other", otherOutcomes},
		{"reconnects", func(s *loadtest.Interval) int64 { return s.Reconnects }},
	} {
		rate := func(s *loadtest.Interval) float64 { return float64(line.count(s)) / s.Width }
		if err := addLine(p, line.name, i, i == 0, timelinePoints(r, rate)); err != nil {
			return nil, err
		}
	}
	return p, addEvents(p, r)
}

// otherOutcomes counts the requests that were neither served nor rejected.
func otherOutcomes(s *loadtest.Interval) (n int64) {
	for outcome, count := range s.Outcomes {
		if outcome != loadtest.Served.String() && outcome != loadtest.Rejected.String() {
			n += count
		}
	}
	return n
}

func plotLatency(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("s", "ms")
	for i, line := range []struct {
		name   string
		figure func(*loadtest.Interval) float64
	}{
		{"p50", func(s *loadtest.Interval) float64 { return s.P50 }},
		{"p99", func(s *loadtest.Interval) float64 { return s.P99 }},
	} {
		if err := addLine(p, line.name, i, false, timelinePoints(r, line.figure)); err != nil {
			return nil, err
		}
	}
	return p, addEvents(p, r)
}

func plotConnections(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("s", "connections")
	open := func(s *loadtest.Interval) float64 { return float64(s.Open) }
	if err := addLine(p, "open", 0, false, timelinePoints(r, open)); err != nil {
		return nil, err
	}
	return p, addEvents(p, r)
}

// plotStartup plots the load on discovery and on the hosts since the launch of the fleet.
func plotStartup(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("s", "per 100 ms")
	for i, line := range []struct {
		name   string
		figure func(s *testcluster.StartStep) int
	}{
		{"list requests to discovery", func(s *testcluster.StartStep) int { return s.Requests }},
		{"rejected list requests", func(s *testcluster.StartStep) int { return s.Rejected }},
		{"setups at all hosts", func(s *testcluster.StartStep) int { return s.Setups }},
		{"setups at the busiest host", func(s *testcluster.StartStep) int { return s.MaxSetupsPerHost }},
	} {
		var points plotter.XYs
		for k := range r.Startup {
			points = append(points, plotter.XY{X: r.Startup[k].At, Y: float64(line.figure(&r.Startup[k]))})
		}
		if err := addLine(p, line.name, i, i == 1, points); err != nil {
			return nil, err
		}
	}
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, 1) * headroom
	return p, nil
}

// addEvents draws the fleet events as vertical lines, and sets the range of the y axis.
func addEvents(p *plot.Plot, r *loadtest.Result) error {
	top := p.Y.Max
	p.Y.Min = 0
	p.Y.Max = max(top, 1) * headroom
	for _, event := range r.FleetEvents[:min(len(r.FleetEvents), maxEventLines)] {
		line, err := plotter.NewLine(plotter.XYs{{X: event.At, Y: 0}, {X: event.At, Y: top}})
		if err != nil {
			return err
		}
		line.Color = color.Gray{0x90}
		line.Width = vg.Points(eventLineWidth)
		p.Add(line)
	}
	return nil
}
