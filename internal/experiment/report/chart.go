package report

import (
	"fmt"
	"html"
	"math"
	"strings"
)

// The size of a chart in SVG units and the room around its plot.
const (
	chartWidth, chartHeight         = 640.0, 250.0
	leftRoom, rightRoom             = 54.0, 14.0
	topRoom, bottomRoom             = 34.0, 34.0
	tickCount                       = 5
	colours                         = 6
	logTicks                        = 10.0
	labelOffset, tickOffset, legend = 14.0, 4.0, 16.0
)

type point struct{ x, y float64 }

// line is a series of a chart; a filled one is drawn as an area.
type line struct {
	name   string
	points []point
	filled bool
	// colour is the number of a colour of the page's style.
	colour int
}

// band is a shaded part of the x axis, mark a vertical line.
type band struct {
	name     string
	from, to float64
}

type mark struct {
	at   float64
	name string
}

type chart struct {
	title, x string
	lines    []line
	bands    []band
	marks    []mark
	logarith bool
	area     struct{ left, right, low, high float64 }
	b        strings.Builder
}

// svg draws the chart.
func (c *chart) svg() string {
	c.measure()
	c.printf(`<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`, chartWidth, chartHeight, html.EscapeString(c.title))
	c.text(leftRoom, labelOffset, "start", "title", c.title)
	for i, b := range c.bands {
		from, to := c.px(b.from), c.px(b.to)
		c.printf(`<rect class="band%d" x="%.1f" y="%g" width="%.1f" height="%g"/>`,
			i%2, from, topRoom, math.Max(to-from, 0), chartHeight-topRoom-bottomRoom)
		c.text(from+3, topRoom+10, "start", "small", b.name)
	}
	c.axes()
	for i := range c.lines {
		c.line(&c.lines[i])
	}
	for _, m := range c.marks {
		c.printf(`<line class="mark" x1="%.1f" x2="%.1f" y1="%g" y2="%g"><title>%s</title></line>`,
			c.px(m.at), c.px(m.at), topRoom, chartHeight-bottomRoom, html.EscapeString(m.name))
	}
	c.key()
	c.printf(`</svg>`)
	return c.b.String()
}

func (c *chart) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(&c.b, format, args...)
}

func (c *chart) text(x, y float64, anchor, class, s string) {
	c.printf(`<text class="%s" x="%.1f" y="%.1f" text-anchor="%s">%s</text>`, class, x, y, anchor, html.EscapeString(s))
}

// measure finds the ranges of both axes.
func (c *chart) measure() {
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
	c.area.left, c.area.right, c.area.low, c.area.high = left, right, 0, high*1.08
	if c.logarith {
		c.area.low = math.Pow(logTicks, math.Floor(math.Log10(math.Min(low, high))))
		c.area.high = math.Pow(logTicks, math.Ceil(math.Log10(high)))
		if c.area.high <= c.area.low {
			c.area.high = c.area.low * logTicks
		}
	}
}

func (c *chart) px(x float64) float64 {
	return leftRoom + (x-c.area.left)/(c.area.right-c.area.left)*(chartWidth-leftRoom-rightRoom)
}

func (c *chart) py(y float64) float64 {
	share := (y - c.area.low) / (c.area.high - c.area.low)
	if c.logarith {
		share = math.Log(math.Max(y, c.area.low)/c.area.low) / math.Log(c.area.high/c.area.low)
	}
	return chartHeight - bottomRoom - share*(chartHeight-topRoom-bottomRoom)
}

func (c *chart) axes() {
	for _, y := range c.ticks() {
		at := c.py(y)
		c.printf(`<line class="grid" x1="%g" x2="%g" y1="%.1f" y2="%.1f"/>`, leftRoom, chartWidth-rightRoom, at, at)
		c.text(leftRoom-tickOffset, at+tickOffset, "end", "small", fmt.Sprintf("%.4g", y))
	}
	step := niceStep(c.area.right - c.area.left)
	for x := math.Ceil(c.area.left/step) * step; x <= c.area.right; x += step {
		c.text(c.px(x), chartHeight-bottomRoom+labelOffset, "middle", "small", fmt.Sprintf("%.4g", x))
	}
	c.text(chartWidth-rightRoom, chartHeight-tickOffset, "end", "small", c.x)
}

func (c *chart) ticks() []float64 {
	var list []float64
	if c.logarith {
		for y := c.area.low; y <= c.area.high*1.01; y *= logTicks {
			list = append(list, y)
		}
		return list
	}
	step := niceStep(c.area.high)
	for y := 0.0; y <= c.area.high; y += step {
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

func (c *chart) line(l *line) {
	if len(l.points) == 0 {
		return
	}
	var path strings.Builder
	for i, p := range l.points {
		command := "L"
		if i == 0 {
			command = "M"
		}
		_, _ = fmt.Fprintf(&path, "%s%.1f %.1f", command, c.px(p.x), c.py(p.y))
	}
	if l.filled {
		last, base := l.points[len(l.points)-1], c.py(c.area.low)
		c.printf(`<path class="area c%d" d="%sL%.1f %.1fL%.1f %.1fZ"/>`,
			l.colour, path.String(), c.px(last.x), base, c.px(l.points[0].x), base)
		return
	}
	c.printf(`<path class="line c%d" d="%s"/>`, l.colour, path.String())
	if len(l.points) <= tickCount*2 {
		for _, p := range l.points {
			c.printf(`<circle class="dot c%d" cx="%.1f" cy="%.1f" r="3"><title>%.4g: %.4g</title></circle>`,
				l.colour, c.px(p.x), c.py(p.y), p.x, p.y)
		}
	}
}

// key names the lines below the title.
func (c *chart) key() {
	x := leftRoom
	for _, l := range c.lines {
		if l.name == "" {
			continue
		}
		c.printf(`<rect class="key c%d" x="%.1f" y="21" width="10" height="6"/>`, l.colour, x)
		c.text(x+legend-2, 28, "start", "small", l.name)
		x += legend + 12 + 6*float64(len(l.name))
	}
}
