package chart

import (
	"bytes"
	"image/color"
	"slices"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width          = 9 * vg.Inch
	height         = 3.2 * vg.Inch
	rowHeight      = 0.24 * vg.Inch
	axesHeight     = 1.1 * vg.Inch
	barGroupFill   = 0.75 // share of a row that its bars fill
	histogramBins  = 40
	legendHeadroom = 1.25 // largest axis value as a multiple of the largest value, to leave room for the legend
	margin         = 0.12 * vg.Inch
	tickMargin     = 0.15 // in units of X, beside the first and the last tick
	minAxisMax     = 1e-9 // keeps an axis from having no length if all values are 0
)

// Chart is one chart.
type Chart struct {
	plot   *plot.Plot
	height vg.Length
	series int
	maxY   float64
}

// NewChart returns an empty chart with a title and axis labels.
func NewChart(title, x, y string) *Chart {
	p := plot.New()
	p.Title.Text = title
	p.Title.Padding = vg.Points(6)
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Padding = vg.Points(2)
	return &Chart{plot: p, height: height}
}

// HorizontalBars draws one horizontal bar for each name and series, the first name at the top.
func (c *Chart) HorizontalBars(names []string, series []Series) error {
	n := len(names)
	barWidth := rowHeight * barGroupFill / vg.Length(max(len(series), 1))
	maxValue := 0.0
	for i, s := range series {
		v := make(plotter.Values, n)
		for j := range n {
			v[n-1-j] = s.Values[j]
			maxValue = max(maxValue, s.Values[j])
		}
		b, err := plotter.NewBarChart(v, barWidth)
		if err != nil {
			return errors.Wrap(err, "draw bars")
		}
		b.Horizontal = true
		b.Color = plotutil.Color(i)
		b.LineStyle.Width = 0
		b.Offset = barWidth * vg.Length(float64(len(series)-1)/2-float64(i))
		c.plot.Add(b)
		if s.Name != "" {
			c.plot.Legend.Add(s.Name, b)
		}
	}
	c.plot.X.Min = 0
	c.plot.X.Max = max(maxValue*legendHeadroom, minAxisMax)
	c.plot.NominalY(reversed(names)...)
	c.plot.Y.Min, c.plot.Y.Max = -0.5, float64(n)-0.5
	c.height = axesHeight + rowHeight*vg.Length(n)
	return nil
}

// VerticalLine draws a dashed vertical line at a value of X.
func (c *Chart) VerticalLine(name string, x float64) error {
	l, err := plotter.NewLine(plotter.XYs{{X: x, Y: c.plot.Y.Min}, {X: x, Y: c.plot.Y.Max}})
	if err != nil {
		return errors.Wrap(err, "draw vertical line")
	}
	l.Color = color.RGBA{R: 200, A: 255}
	l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	c.plot.Add(l)
	c.plot.Legend.Add(name, l)
	c.plot.X.Max = max(c.plot.X.Max, x*legendHeadroom)
	return nil
}

// Histogram draws a histogram of values.
func (c *Chart) Histogram(values []float64) error {
	h, err := plotter.NewHist(plotter.Values(values), histogramBins)
	if err != nil {
		return errors.Wrap(err, "draw histogram")
	}
	h.FillColor = plotutil.Color(c.series)
	h.LineStyle.Width = vg.Points(0.5)
	c.plot.Add(h)
	c.series++
	return nil
}

// Line draws points joined by line segments.
func (c *Chart) Line(name string, x, y []float64) error {
	p := make(plotter.XYs, len(x))
	for i := range x {
		p[i] = plotter.XY{X: x[i], Y: y[i]}
	}
	l, s, err := plotter.NewLinePoints(p)
	if err != nil {
		return errors.Wrap(err, "draw line")
	}
	l.Color = plotutil.Color(c.series)
	l.Width = vg.Points(1.5)
	s.Color = l.Color
	s.Shape = draw.CircleGlyph{}
	c.plot.Add(l, s)
	c.plot.Legend.Add(name, l, s)
	c.plot.Legend.Left = true
	c.plot.Y.Min = 0
	c.maxY = max(c.maxY, slices.Max(y))
	c.plot.Y.Max = max(c.maxY*legendHeadroom, minAxisMax)
	c.series++
	return nil
}

// Ticks labels positions on the X axis.
func (c *Chart) Ticks(x []float64, names []string) {
	t := make(plot.ConstantTicks, len(x))
	for i := range x {
		t[i] = plot.Tick{Value: x[i], Label: names[i]}
	}
	c.plot.X.Tick.Marker = t
	c.plot.X.Min = x[0] - tickMargin
	c.plot.X.Max = x[len(x)-1] + tickMargin
}

// SVG returns the chart as an svg element.
func (c *Chart) SVG() (string, error) {
	v := vgsvg.New(width, c.height)
	c.plot.Draw(draw.Crop(draw.New(v), margin, -margin, margin, -margin))
	var b bytes.Buffer
	if _, err := v.WriteTo(&b); err != nil {
		return "", errors.Wrap(err, "write chart")
	}
	i := bytes.Index(b.Bytes(), []byte("<svg"))
	if i < 0 {
		return "", errors.New("the chart output has no svg element")
	}
	return string(b.Bytes()[i:]), nil
}

func reversed(l []string) []string {
	r := make([]string, len(l))
	for i, s := range l {
		r[len(l)-1-i] = s
	}
	return r
}
