// Package page renders the result of a run as one self-contained HTML file with tables and SVG plots.
package page

import (
	"bytes"
	_ "embed" // for page.html
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"onyxstream/internal/loadtest"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"ms":    func(v float64) string { return fmt.Sprintf("%.3g", v) },
	"share": func(n, of int64) string { return fmt.Sprintf("%.2f %%", 100*float64(n)/math.Max(float64(of), 1)) },
}).Parse(pageSource))

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3.2 * vg.Inch
)

// pageData is the data of the template.
type pageData struct {
	R        *loadtest.Result
	Plots    []renderedPlot
	All      []loadtest.ClassResult // all classes of each path together, then each class
	Outcomes []string
}

type renderedPlot struct {
	Title string
	SVG   template.HTML
}

// plots are the page's plots in their order.
var plots = []struct {
	title string
	draw  func(*loadtest.Result) (*plot.Plot, error)
}{
	{"Latency of served requests, from the intended time", plotPercentiles},
	{"Requests by outcome", plotOutcomes},
	{"Latency over time", plotLatency},
	{"Established connections", plotConnections},
	{"Startup: calls to the list service and connection set-ups at hosts, since the launch of the nodes", plotStartup},
}

// Write writes the page of a result.
func Write(w io.Writer, r *loadtest.Result) error {
	data := pageData{R: r, Outcomes: loadtest.OutcomeNames()}
	for _, p := range plots {
		svg, err := renderPlot(p.draw, r)
		if err != nil {
			return fmt.Errorf("plot %q: %w", p.title, err)
		}
		data.Plots = append(data.Plots, renderedPlot{p.title, svg})
	}
	for _, path := range r.Paths() {
		c, err := r.Aggregate(path)
		if err != nil {
			return err
		}
		data.All = append(data.All, c)
	}
	data.All = append(data.All, r.Classes...)
	return pageTemplate.Execute(w, data)
}

func renderPlot(drawPlot func(*loadtest.Result) (*plot.Plot, error), r *loadtest.Result) (template.HTML, error) {
	p, err := drawPlot(r)
	if err != nil {
		return "", err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	// HTML must not contain the XML declaration in front.
	text := b.String()
	if i := strings.Index(text, "<svg"); i >= 0 {
		text = text[i:]
	}
	return template.HTML(text), nil //nolint:gosec // made by the plot library, which escapes its texts
}
