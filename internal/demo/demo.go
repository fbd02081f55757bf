// Package demo runs the main job of the system with real processes and
// embedded stand-ins, and tells what held. The same run is a process test.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"text/template"
	"time"

	"github.com/pkg/errors"

	"sassafrasfield/internal/testcaller"
	"sassafrasfield/internal/testfleet"
)

// APIKey is the API key of the demo's one organisation.
const APIKey = "demo-key-of-qoton-trace"

// ModelName is the demo's one model.
const ModelName = "provenance"

// Result is one point that held or fell.
type Result struct {
	Step   string
	Detail string
	Err    error
}

// Demo is one run.
type Demo struct {
	// Bin is the folder of the built programs.
	Bin string
	// Root is the folder of the repository.
	Root string
	// Dir takes settings and logs.
	Dir string
	Out io.Writer

	fleet  *testfleet.Fleet
	caller *testcaller.Caller
	prompt string
	rows   []Result
}

// Run starts the fleet, goes through the points and stops all processes. It
// returns an error when a point fell.
func (d *Demo) Run(ctx context.Context) error {
	d.fleet = testfleet.New(d.Bin, d.Dir)
	d.caller = testcaller.New(APIKey)
	defer d.fleet.Stop()
	started := time.Now()
	prompt, err := os.ReadFile(filepath.Join(d.Root, "examples", "demo", "prompt.txt"))
	if err != nil {
		return errors.WithStack(err)
	}
	d.prompt = string(prompt)
	points := []struct {
		what string
		run  func(context.Context) (string, error)
	}{
		{"three instances, three engines and a service start; the first intent is in force", d.startFleet},
		{"a completion is streamed to a caller", d.streamCompletion},
		{"a call with an idempotency key runs once through two instances", d.callTwice},
		{"an engine is drained and an adapter loaded; a stream on it finishes whole", d.drainEngine},
		{"an instance is killed; its stream is resumed on another", d.killInstance},
	}
	for _, point := range points {
		fmt.Fprintf(d.Out, "\n== %s\n", point.what)
		detail, err := point.run(ctx)
		d.rows = append(d.rows, Result{Step: point.what, Detail: detail, Err: err})
		if err != nil {
			break
		}
	}
	return d.report(time.Since(started))
}

// report prints the table of what held.
func (d *Demo) report(took time.Duration) error {
	fmt.Fprintln(d.Out)
	w := tabwriter.NewWriter(d.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "RESULT\tWHAT\tDETAIL")
	var failed error
	for _, row := range d.rows {
		result := "held"
		if row.Err != nil {
			result, row.Detail = "FELL", row.Err.Error()
			failed = row.Err
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", result, row.Step, row.Detail)
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintf(d.Out, "took %.1f s\n", took.Seconds())
	return failed
}

// startFleet starts all processes and puts the first intent in force.
func (d *Demo) startFleet(ctx context.Context) (string, error) {
	if err := d.fleet.StartPlatform(ctx); err != nil {
		return "", err
	}
	for i, zone := range []string{"hall-a", "hall-b", "hall-a"} {
		id := fmt.Sprintf("engine-%d", i+1)
		flags := []string{"--model", ModelName, "--model-version", "1", "--adapter", "grades", "--fencing", "refuse"}
		if _, err := d.fleet.AddEngine(ctx, id, zone, flags...); err != nil {
			return "", err
		}
	}
	if _, err := d.fleet.AddService(ctx, "bales-1", "hall-a"); err != nil {
		return "", err
	}
	d.fleet.EntryExtra = "balancer_lag = \"200ms\"\n"
	d.fleet.EntryTables = fmt.Sprintf("[trace]\nfile = %q\n", filepath.Join(d.Dir, "spans.json"))
	for i, zone := range []string{"hall-a", "hall-b", "hall-b"} {
		if _, err := d.fleet.AddInstance(ctx, fmt.Sprintf("inst-%d", i+1), zone); err != nil {
			return "", err
		}
	}
	if err := testfleet.Until(ctx, "each sf-control answers", d.controlsAnswer); err != nil {
		return "", err
	}
	sum := sha256.Sum256([]byte(APIKey))
	path, err := d.render("base.toml", map[string]any{
		"Engines": d.fleet.Engines, "Services": d.fleet.Services, "KeyHash": hex.EncodeToString(sum[:]),
	})
	if err != nil {
		return "", err
	}
	return "confirmed and followed by sfctl", d.declareAndConfirm(ctx, path)
}

func (d *Demo) controlsAnswer() bool {
	for _, i := range d.fleet.Instances {
		if _, err := d.sfctl(context.Background(), i, "status"); err != nil {
			return false
		}
	}
	return true
}

// render fills in an intent of examples/demo.
func (d *Demo) render(name string, values map[string]any) (string, error) {
	source := filepath.Join(d.Root, "examples", "demo", name+".tmpl")
	parsed, err := template.ParseFiles(source)
	if err != nil {
		return "", errors.WithStack(err)
	}
	path := filepath.Join(d.Dir, name)
	file, err := os.Create(path)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer file.Close()
	return path, errors.WithStack(parsed.Execute(file, values))
}
