package report

import (
	"fmt"
	"html"
	"math"
	"strings"
)

// The dimensions of a chart in SVG units.
const (
	chartWidth, chartHeight              = 640.0, 250.0
	leftMargin, rightMargin              = 54.0, 14.0
	topMargin, bottomMargin              = 34.0, 34.0
	tickCount                            = 5
	colourCount                          = 6
	logTickFactor                        = 10.0
	labelOffset, tickOffset, legendWidth = 14.0, 4.0, 16.0
)

type point struct{ x, y float64 }

// line is a data series of a chart. A filled line is drawn as an area.
type line struct {
	name   string
	points []point
	filled bool
	// colour is the index of a colour in the style sheet of the page.
	colour int
}

// band is a shaded range of the x axis with a name.
type band struct {
	name     string
	from, to float64
}

// marker is a vertical line with a name.
type marker struct {
	x    float64
	name string
}

type chart struct {
	title, xLabel string
	lines         []line
	bands         []band
	markers       []marker
	logarithmic   bool
	plot          struct{ left, right, low, high float64 }
	svgText       strings.Builder
}

// svg returns the chart as an SVG element.
func (c *chart) svg() string {
	c.setRanges()
	c.printf(`<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`, chartWidth, chartHeight, html.EscapeString(c.title))
	c.drawText(leftMargin, labelOffset, "start", "title", c.title)
	for i, b := range c.bands {
		from, to := c.xPosition(b.from), c.xPosition(b.to)
		c.printf(`<rect class="band%d" x="%.1f" y="%g" width="%.1f" height="%g"/>`,
			i%2, from, topMargin, math.Max(to-from, 0), chartHeight-topMargin-bottomMargin)
		c.drawText(from+3, topMargin+10, "start", "small", b.name)
	}
	c.drawAxes()
	for i := range c.lines {
		c.drawLine(&c.lines[i])
	}
	for _, m := range c.markers {
		c.printf(`<line class="mark" x1="%.1f" x2="%.1f" y1="%g" y2="%g"><title>%s</title></line>`,
			c.xPosition(m.x), c.xPosition(m.x), topMargin, chartHeight-bottomMargin, html.EscapeString(m.name))
	}
	c.drawLegend()
	c.printf(`</svg>`)
	return c.svgText.String()
}

func (c *chart) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(&c.svgText, format, args...)
}

func (c *chart) drawText(x, y float64, anchor, class, s string) {
	c.printf(`<text class="%s" x="%.1f" y="%.1f" text-anchor="%s">%s</text>`, class, x, y, anchor, html.EscapeString(s))
}

// setRanges computes the ranges of both axes from the lines.
func (c *chart) setRanges() {
	left, right, low, high := math.Inf(1), math.Inf(-1), math.Inf(1), 0.0
	for _, l := range c.lines {
		for _, p := range l.points {
			left, right = math.Min(left, p.x), math.Max(right, p.x)
			high = math.Max(high, p.y)
			if p.y > 0 {
				low = math.Min(low, p.y)
			}
		}
	}
	if math.IsInf(left, 1) {
		left, right = 0, 1
	}
	if right <= left {
		right = left + 1
	}
	if high == 0 {
		high = 1
	}
	c.plot.left, c.plot.right, c.plot.low, c.plot.high = left, right, 0, high*1.08
	if c.logarithmic {
		c.plot.low = math.Pow(logTickFactor, math.Floor(math.Log10(math.Min(low, high))))
		c.plot.high = math.Pow(logTickFactor, math.Ceil(math.Log10(high)))
		if c.plot.high <= c.plot.low {
			c.plot.high = c.plot.low * logTickFactor
		}
	}
}

func (c *chart) xPosition(x float64) float64 {
	return leftMargin + (x-c.plot.left)/(c.plot.right-c.plot.left)*(chartWidth-leftMargin-rightMargin)
}

func (c *chart) yPosition(y float64) float64 {
	share := (y - c.plot.low) / (c.plot.high - c.plot.low)
	if c.logarithmic {
		share = math.Log(math.Max(y, c.plot.low)/c.plot.low) / math.Log(c.plot.high/c.plot.low)
	}
	return chartHeight - bottomMargin - share*(chartHeight-topMargin-bottomMargin)
}

func (c *chart) drawAxes() {
	for _, y := range c.yTicks() {
		position := c.yPosition(y)
		c.printf(`<line class="grid" x1="%g" x2="%g" y1="%.1f" y2="%.1f"/>`, leftMargin, chartWidth-rightMargin, position, position)
		c.drawText(leftMargin-tickOffset, position+tickOffset, "end", "small", fmt.Sprintf("%.4g", y))
	}
	step := niceStep(c.plot.right - c.plot.left)
	for x := math.Ceil(c.plot.left/step) * step; x <= c.plot.right; x += step {
		c.drawText(c.xPosition(x), chartHeight-bottomMargin+labelOffset, "middle", "small", fmt.Sprintf("%.4g", x))
	}
	c.drawText(chartWidth-rightMargin, chartHeight-tickOffset, "end", "small", c.xLabel)
}

func (c *chart) yTicks() []float64 {
	var list []float64
	if c.logarithmic {
		for y := c.plot.low; y <= c.plot.high*1.01; y *= logTickFactor {
			list = append(list, y)
		}
		return list
	}
	step := niceStep(c.plot.high)
	for y := 0.0; y <= c.plot.high; y += step {
		list = append(list, y)
	}
	return list
}

// niceStep returns a step of 1, 2 or 5 times a power of ten.
func niceStep(span float64) float64 {
	raw := span / tickCount
	power := math.Pow(10, math.Floor(math.Log10(raw)))
	for _, n := range []float64{1, 2, 5} {
		if raw <= n*power {
			return n * power
		}
	}
	return 10 * power
}

func (c *chart) drawLine(l *line) {
	if len(l.points) == 0 {
		return
	}
	var path strings.Builder
	for i, p := range l.points {
		command := "L"
		if i == 0 {
			command = "M"
		}
		_, _ = fmt.Fprintf(&path, "%s%.1f %.1f", command, c.xPosition(p.x), c.yPosition(p.y))
	}
	if l.filled {
		last, base := l.points[len(l.points)-1], c.yPosition(c.plot.low)
		c.printf(`<path class="area c%d" d="%sL%.1f %.1fL%.1f %.1fZ"/>`,
			l.colour, path.String(), c.xPosition(last.x), base, c.xPosition(l.points[0].x), base)
		return
	}
	c.printf(`<path class="line c%d" d="%s"/>`, l.colour, path.String())
	if len(l.points) <= tickCount*2 {
		for _, p := range l.points {
			c.printf(`<circle class="dot c%d" cx="%.1f" cy="%.1f" r="3"><title>%.4g: %.4g</title></circle>`,
				l.colour, c.xPosition(p.x), c.yPosition(p.y), p.x, p.y)
		}
	}
}

// drawLegend draws the names of the lines below the title.
func (c *chart) drawLegend() {
	x := leftMargin
	for _, l := range c.lines {
		if l.name == "" {
			continue
		}
		c.printf(`<rect class="key c%d" x="%.1f" y="21" width="10" height="6"/>`, l.colour, x)
		c.drawText(x+legendWidth-2, 28, "start", "small", l.name)
		x += legendWidth + 12 + 6*float64(len(l.name))
	}
}
