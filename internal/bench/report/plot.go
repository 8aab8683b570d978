package report

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/chestnutline/chestnutline/internal/bench/workload"
)

// The sizes of the plot and of its bars.
const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 14 // points
)

// colours are the colours of the reports in a plot, used in turn.
var colours = []color.Color{
	color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	color.RGBA{R: 0xc8, G: 0x55, B: 0x1b, A: 0xff},
	color.RGBA{R: 0x4a, G: 0x8c, B: 0x3f, A: 0xff},
	color.RGBA{R: 0x70, G: 0x70, B: 0x70, A: 0xff},
}

// Plot draws the 95th percentile of the time to first token by prompt class, with
// one bar for each report, into an image file. The extension of path determines
// the type of image.
func Plot(path string, names []string, reports []*Report) error {
	p := plot.New()
	p.Title.Text = "Time to first token, 95th percentile"
	p.X.Label.Text = "prompt length in tokens"
	p.Y.Label.Text = "seconds"
	p.Legend.Top = true
	p.Legend.Left = true
	classes := append(workload.Classes(), ClassAll)
	for i, r := range reports {
		bars, err := plotter.NewBarChart(ttftP95Values(r, classes), vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "drawing the plot")
		}
		bars.Color = colours[i%len(colours)]
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(reports)-1)/2))
		p.Add(bars)
		p.Legend.Add(names[i], bars)
	}
	labels := make([]string, len(classes))
	for i, class := range classes {
		labels[i] = string(class)
	}
	p.NominalX(labels...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "saving the plot")
}

func ttftP95Values(r *Report, classes []workload.Class) plotter.Values {
	v := make(plotter.Values, len(classes))
	for i, class := range classes {
		if q := r.TTFTSeconds[class]; q != nil {
			v[i] = q.P95
		}
	}
	return v
}
