// Package demo demonstrates the main functions of the system: it starts the built
// programs and embedded test servers, runs five steps and prints the result of
// each. The package's test runs the same steps.
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

// APIKey is the API key of the demo's only organisation.
const APIKey = "demo-key-of-qoton-trace"

// ModelName is the name of the demo's only model.
const ModelName = "provenance"

// Result is the result of one step; Err is nil if the step succeeded.
type Result struct {
	Step   string
	Detail string
	Err    error
}

// Demo is one run of the demo. The exported fields must be set.
type Demo struct {
	// Bin is the folder of the built programs.
	Bin string
	// Root is the folder of the repository.
	Root string
	// Dir is the folder for the settings and logs of the processes.
	Dir string
	// Out receives the progress and the table of results.
	Out io.Writer

	fleet   *testfleet.Fleet
	caller  *testcaller.Caller
	prompt  string
	results []Result
}

// Run runs the steps, prints their results and stops all processes. The first
// step that fails ends the run; its error is returned.
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
	steps := []struct {
		what string
		run  func(context.Context) (string, error)
	}{
		{"three instances, three engines and a service start; the first intent is in force", d.startFleet},
		{"a completion is streamed to a caller", d.streamCompletion},
		{"a call with an idempotency key runs once through two instances", d.callTwice},
		{"an engine is drained and an adapter loaded; a stream on it finishes whole", d.drainEngine},
		{"an instance is killed; its stream is resumed on another", d.killInstance},
	}
	for _, step := range steps {
		fmt.Fprintf(d.Out, "\n== %s\n", step.what)
		detail, err := step.run(ctx)
		d.results = append(d.results, Result{Step: step.what, Detail: detail, Err: err})
		if err != nil {
			break
		}
	}
	return d.report(time.Since(started))
}

// report prints the table of results. It returns the error of the step that failed.
func (d *Demo) report(duration time.Duration) error {
	fmt.Fprintln(d.Out)
	w := tabwriter.NewWriter(d.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "RESULT\tWHAT\tDETAIL")
	var failed error
	for _, r := range d.results {
		result := "held"
		if r.Err != nil {
			result, r.Detail = "FELL", r.Err.Error()
			failed = r.Err
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", result, r.Step, r.Detail)
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	fmt.Fprintf(d.Out, "took %.1f s\n", duration.Seconds())
	return failed
}

// startFleet starts all processes and confirms the first intent.
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

// controlsAnswer reports whether all sf-control processes answer sfctl.
func (d *Demo) controlsAnswer() bool {
	for _, i := range d.fleet.Instances {
		if _, err := d.sfctl(context.Background(), i, "status"); err != nil {
			return false
		}
	}
	return true
}

// render executes the template of an intent in examples/demo and returns the path of the result.
func (d *Demo) render(name string, values map[string]any) (string, error) {
	source := filepath.Join(d.Root, "examples", "demo", name+".tmpl")
	intent, err := template.ParseFiles(source)
	if err != nil {
		return "", errors.WithStack(err)
	}
	path := filepath.Join(d.Dir, name)
	file, err := os.Create(path)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer file.Close()
	return path, errors.WithStack(intent.Execute(file, values))
}
