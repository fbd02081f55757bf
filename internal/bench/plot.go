package bench

import (
	"fmt"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"sassafrasfield/internal/loadgen"
)

// Size of a plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// legendScale scales the y axis to leave room for the legend above the lines.
	legendScale = 1.5
)

// plotSwings draws the good responses by second of arrival, as a mean over the seeds, into one file for each
// set of conditions.
func plotSwings(out string, cells []Cell) error {
	for start := 0; start < len(cells); {
		end := start + 1
		for end < len(cells) && sameConditions(cells[start], cells[end]) {
			end++
		}
		if err := plotSwing(out, cells[start:end]); err != nil {
			return err
		}
		start = end
	}
	return nil
}

func sameConditions(a, b Cell) bool {
	return a.Deployment == b.Deployment && a.LagSeconds == b.LagSeconds && a.Faults == b.Faults
}

func plotSwing(out string, cells []Cell) error {
	title := fmt.Sprintf("%s, report lag %g s", cells[0].Deployment, cells[0].LagSeconds)
	if cells[0].Faults {
		title += ", one engine killed and one stopped"
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "second of arrival"
	p.Y.Label.Text = "completions a second (prompt tokens: thousands a second)"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.TextStyle.Font.Size = vg.Points(8)
	lines := []any{
		"offered", series(cells, func(s loadgen.Second) float64 { return float64(s.Offered) }),
		"prompt tokens / 1000", series(cells, func(s loadgen.Second) float64 { return float64(s.PromptTokens) / 1000 }),
	}
	for start := 0; start < len(cells); {
		end := start + 1
		for end < len(cells) && cells[end].Variant == cells[start].Variant {
			end++
		}
		good := series(cells[start:end], func(s loadgen.Second) float64 { return float64(s.Good) })
		lines = append(lines, "good: "+cells[start].Variant, good)
		start = end
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "bench: plot")
	}
	p.Y.Max *= legendScale
	return errors.Wrap(p.Save(plotWidth, plotHeight, filepath.Join(out, "swing-"+directoryName(title)+".svg")), "bench: plot")
}

// series returns the mean over cells for each second.
func series(cells []Cell, value func(loadgen.Second) float64) plotter.XYs {
	points := make(plotter.XYs, len(cells[0].Result.Seconds))
	for i := range points {
		points[i].X = float64(i)
		for _, c := range cells {
			points[i].Y += value(c.Result.Seconds[i]) / float64(len(cells))
		}
	}
	return points
}
