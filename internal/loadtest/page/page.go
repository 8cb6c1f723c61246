// Package page draws the result of a run as one HTML file that needs nothing else: tables, and plots as SVG.
package page

import (
	"bytes"
	_ "embed" // the page's form
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"onyxstream/internal/loadtest"
	"onyxstream/internal/testcluster"
)

//go:embed page.html
var form string

var tmpl = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":    func(v float64) string { return fmt.Sprintf("%.3g", v) },
	"share": func(n, of int64) string { return fmt.Sprintf("%.2f %%", 100*float64(n)/math.Max(float64(of), 1)) },
}).Parse(form))

var colours = []color.Color{
	color.RGBA{0x1f, 0x5f, 0xa8, 0xff}, color.RGBA{0xc4, 0x4e, 0x1c, 0xff}, color.RGBA{0x2a, 0x86, 0x4b, 0xff},
	color.RGBA{0x84, 0x3c, 0x96, 0xff}, color.RGBA{0x6b, 0x5a, 0x1e, 0xff}, color.RGBA{0x33, 0x88, 0x8c, 0xff},
}

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3.2 * vg.Inch
)

type plotted struct {
	Title string
	SVG   template.HTML
}

// Write writes the page of a result.
func Write(w io.Writer, r *loadtest.Result) error {
	var plots []plotted
	for _, p := range []struct {
		title string
		draw  func(*loadtest.Result) (*plot.Plot, error)
	}{
		{"Latency of served requests, from the intended moment", percentiles},
		{"Requests by what became of them", outcomes},
		{"Latency over time", overTime},
		{"Connections that stand", standing},
		{"The start: calls to the list service and set-ups at hosts, from the start of the processes on", start},
	} {
		g, err := p.draw(r)
		if err != nil {
			return fmt.Errorf("plot %q: %w", p.title, err)
		}
		svg, err := render(g)
		if err != nil {
			return fmt.Errorf("plot %q: %w", p.title, err)
		}
		plots = append(plots, plotted{p.title, svg})
	}
	var all []loadtest.ClassResult
	for _, path := range r.Paths() {
		c, err := r.All(path)
		if err != nil {
			return err
		}
		all = append(all, c)
	}
	return tmpl.Execute(w, map[string]any{"R": r, "Plots": plots, "All": append(all, r.Classes...),
		"Outcomes": []string{"served", "refused", "failed", "lost", "unanswered", "unreachable", "unsent", "cut"}})
}

func render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	// The XML head does not belong into HTML.
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // made by the plot library, which escapes its texts
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	p.Legend.Left = true
	return p
}

// headroom leaves the legend's place above what is drawn.
const headroom = 1.45

// add draws a line, where there is anything to draw.
func add(p *plot.Plot, name string, i int, dashed bool, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Width = colours[i%len(colours)], vg.Points(1.4)
	if dashed {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// percentiles draws each class's distribution against its share of requests, stretched towards the slow ones. The
// time of the try alone is dashed: where it is under the line, who waits is hidden by it.
func percentiles(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("percentile", "ms")
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Tick.Marker = plot.ConstantTicks{{Value: 0, Label: "0"}, {Value: 1, Label: "90"}, {Value: 2, Label: "99"},
		{Value: 3, Label: "99.9"}, {Value: 4, Label: "99.99"}}
	p.Y.Min, p.Y.Max = 0.1, 1
	for i, c := range r.Classes {
		for _, d := range []struct {
			name   string
			s      loadtest.Summary
			dashed bool
		}{{c.Class, c.Latency["served"], false}, {"", c.Service, true}} {
			h, err := d.s.Histogram()
			if err != nil {
				return nil, err
			}
			var points plotter.XYs
			for x := 0.0; x <= 4 && h.TotalCount() > 0; x += 0.02 {
				share := 1 - math.Pow(10, -x)
				if 1-share < 1/float64(h.TotalCount()) {
					break
				}
				points = append(points, plotter.XY{X: x, Y: math.Max(float64(h.ValueAtPercentile(100*share))/1000, 0.001)})
			}
			name := d.name
			if name != "" && c.Path != "node" {
				name += " (" + c.Path + ")"
			}
			if err := addNamed(p, name, i, d.dashed, points); err != nil {
				return nil, err
			}
		}
	}
	p.Y.Max *= 4
	return p, nil
}

func addNamed(p *plot.Plot, name string, i int, dashed bool, points plotter.XYs) error {
	if name != "" {
		return add(p, name, i, dashed, points)
	}
	if len(points) == 0 {
		return nil
	}
	l, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	l.Color, l.Width, l.Dashes = colours[i%len(colours)], vg.Points(1), []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(l)
	return nil
}

func series(r *loadtest.Result, of func(s *loadtest.Stretch) float64) (points plotter.XYs) {
	last := len(r.Line) // behind the last request there is nothing to show
	for last > 0 && r.Line[last-1].Intended+r.Line[last-1].Back+r.Line[last-1].Open == 0 {
		last--
	}
	for i := range last {
		points = append(points, plotter.XY{X: r.Line[i].At, Y: of(&r.Line[i])})
	}
	return points
}

func outcomes(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("s", "requests a second")
	rate := func(n int64, s *loadtest.Stretch) float64 { return float64(n) / s.Width }
	for i, l := range []struct {
		name string
		of   func(s *loadtest.Stretch) float64
	}{
		{"meant", func(s *loadtest.Stretch) float64 { return rate(s.Intended, s) }},
		{"served", func(s *loadtest.Stretch) float64 { return rate(s.Outcomes["served"], s) }},
		{"refused", func(s *loadtest.Stretch) float64 { return rate(s.Outcomes["refused"], s) }},
		{"neither", func(s *loadtest.Stretch) float64 {
			n := int64(0)
			for k, v := range s.Outcomes {
				if k != "served" && k != "refused" {
					n += v
				}
			}
			return rate(n, s)
		}},
		{"came again", func(s *loadtest.Stretch) float64 { return rate(s.Back, s) }},
	} {
		if err := add(p, l.name, i, i == 0, series(r, l.of)); err != nil {
			return nil, err
		}
	}
	return p, marks(p, r)
}

func overTime(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("s", "ms")
	for i, l := range []struct {
		name string
		of   func(s *loadtest.Stretch) float64
	}{{"p50", func(s *loadtest.Stretch) float64 { return s.P50 }}, {"p99", func(s *loadtest.Stretch) float64 { return s.P99 }}} {
		if err := add(p, l.name, i, false, series(r, l.of)); err != nil {
			return nil, err
		}
	}
	return p, marks(p, r)
}

func standing(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("s", "connections")
	if err := add(p, "open", 0, false, series(r, func(s *loadtest.Stretch) float64 { return float64(s.Open) })); err != nil {
		return nil, err
	}
	return p, marks(p, r)
}

// start draws what the list service and the hosts saw from the moment at which the fleet was started.
func start(r *loadtest.Result) (*plot.Plot, error) {
	p := newPlot("s", "in 100 ms")
	for i, l := range []struct {
		name string
		of   func(s *testcluster.StartStep) int
	}{
		{"calls to the list service", func(s *testcluster.StartStep) int { return s.Calls }},
		{"of them turned away", func(s *testcluster.StartStep) int { return s.Rejected }},
		{"set-ups at all hosts", func(s *testcluster.StartStep) int { return s.Setups }},
		{"most at one host", func(s *testcluster.StartStep) int { return s.MaxSetupsPerHost }},
	} {
		var points plotter.XYs
		for k := range r.Start {
			points = append(points, plotter.XY{X: r.Start[k].At, Y: float64(l.of(&r.Start[k]))})
		}
		if err := add(p, l.name, i, i == 1, points); err != nil {
			return nil, err
		}
	}
	p.Y.Min, p.Y.Max = 0, max(p.Y.Max, 1)*headroom
	return p, nil
}

// mostMarks bounds the lines that a plot gets; the table has all.
const mostMarks = 40

// marks draws what happened to the fleet as upright lines.
func marks(p *plot.Plot, r *loadtest.Result) error {
	top := p.Y.Max
	p.Y.Min, p.Y.Max = 0, max(top, 1)*headroom
	for i, m := range r.Marks {
		if i >= mostMarks {
			break
		}
		l, err := plotter.NewLine(plotter.XYs{{X: m.At, Y: 0}, {X: m.At, Y: top}})
		if err != nil {
			return err
		}
		l.Color, l.Width = color.Gray{0x90}, vg.Points(0.7)
		p.Add(l)
	}
	return nil
}
