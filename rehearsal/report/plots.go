package report

import (
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/magpielug/magpielug/rehearsal/experiment"
)

// Size of a plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// measure is one value of a cell, plotted over the load.
type measure struct {
	file  string
	title string
	unit  string
	value func(experiment.Cell) (float64, bool)
}

// writePlots writes one plot per measure, with one line per policy, and returns
// the file names.
func writePlots(folder string, result experiment.Result) ([]string, error) {
	var names []string
	for _, measure := range measures(result) {
		if err := writePlot(folder, result, measure); err != nil {
			return nil, err
		}
		names = append(names, measure.file)
	}
	return names, nil
}

func measures(result experiment.Result) []measure {
	list := []measure{
		{"mean.png", "Mean program latency, all tiers", "ms", func(cell experiment.Cell) (float64, bool) {
			return cell.All.Latency.Mean, cell.All.Latency.Count > 0
		}},
		{"wasted.png", "Held block-seconds never reused", "%", func(cell experiment.Cell) (float64, bool) {
			const hundred = 100
			return cell.Cache.WastedShare * hundred, true
		}},
	}
	for index, name := range tierNames(result) {
		list = append(list, measure{
			"p95-" + strings.ReplaceAll(name, " ", "-") + ".png", "p95 program latency, tier " + name, "ms",
			func(cell experiment.Cell) (float64, bool) {
				if index >= len(cell.Tiers) {
					return 0, false
				}
				return cell.Tiers[index].Latency.P95, cell.Tiers[index].Latency.Count > 0
			},
		})
	}
	return list
}

func tierNames(result experiment.Result) []string {
	if len(result.Cells) == 0 {
		return nil
	}
	var names []string
	for _, tier := range result.Cells[0].Tiers {
		names = append(names, tier.Tier)
	}
	return names
}

func writePlot(folder string, result experiment.Result, measure measure) error {
	canvas := plot.New()
	canvas.Title.Text = measure.title
	canvas.X.Label.Text = "load (1 = capacity)"
	canvas.Y.Label.Text = measure.unit
	canvas.Y.Min = 0
	canvas.Legend.Top = true
	canvas.Legend.Left = true
	for index, policy := range result.Policies {
		points := policyPoints(result, policy, measure)
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return eris.Wrapf(err, "plot %s", measure.file)
		}
		line.Color = plotutil.Color(index)
		line.Dashes = plotutil.Dashes(index)
		dots.Color = plotutil.Color(index)
		dots.Shape = plotutil.Shape(index)
		canvas.Add(line, dots)
		canvas.Legend.Add(policy, line, dots)
	}
	err := canvas.Save(plotWidth, plotHeight, filepath.Join(folder, measure.file))
	return eris.Wrapf(err, "plot %s", measure.file)
}

func policyPoints(result experiment.Result, policy string, measure measure) plotter.XYs {
	var points plotter.XYs
	for _, load := range result.Loads {
		cell, found := result.Cell(policy, load)
		if !found {
			continue
		}
		if value, known := measure.value(cell); known {
			points = append(points, plotter.XY{X: load, Y: value})
		}
	}
	return points
}
