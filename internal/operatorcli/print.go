package operatorcli

import (
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// json prints a message if the output format is JSON, and reports whether it did.
func (c *CLI) json(message proto.Message) (bool, error) {
	if c.output != "json" {
		return false, nil
	}
	data, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		return true, err
	}
	_, err = fmt.Fprintln(c.Out, string(data))
	return true, err
}

// table prints rows in aligned columns.
func (c *CLI) table(header string, rows [][]string) error {
	w := tabwriter.NewWriter(c.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, header)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

func (c *CLI) printFindings(findings []*sfv1.Finding) {
	for _, f := range findings {
		level := ""
		if f.Warning {
			level = "warning: "
		}
		fmt.Fprintf(c.Err, "%s:%d:%d: %s%s: %s\n", f.File, f.Line, f.Column, level, f.Key, f.Message)
	}
}

func (c *CLI) printPlan(p *sfv1.Plan) error {
	if done, err := c.json(p); done {
		return err
	}
	c.printPlanSummary(p)
	var steps [][]string
	for _, s := range p.Steps {
		steps = append(steps, []string{fmt.Sprint(s.Number), s.Kind, s.State, fmt.Sprintf("%.0fs", s.OutSeconds), s.Text, s.Detail})
	}
	if err := c.table("STEP\tKIND\tSTATE\tOUT\tWHAT\tWAITS FOR", steps); err != nil {
		return err
	}
	var effects [][]string
	for _, e := range p.Effects {
		effects = append(effects, []string{e.Model, fmt.Sprint(e.EnginesBefore), fmt.Sprint(e.EnginesLowest), fmt.Sprint(e.EnginesAfter)})
	}
	if err := c.table("MODEL\tSERVING\tLOWEST\tAFTER", effects); err != nil {
		return err
	}
	for _, warning := range p.Warnings {
		fmt.Fprintln(c.Out, "warning:", warning)
	}
	for _, refusal := range p.Refusals {
		fmt.Fprintln(c.Out, "would be refused:", refusal)
	}
	return nil
}

// printPlanSummary prints the state of a plan, its operator, and its expected
// duration.
func (c *CLI) printPlanSummary(p *sfv1.Plan) {
	fmt.Fprintf(c.Out, "plan %s (%s) by %s: %s, built from change %d\n", p.Id, p.IntentName, p.Operator, p.State, p.BuiltFrom)
	if p.Version > 0 {
		fmt.Fprintf(c.Out, "confirmed by %s as version %d\n", p.ConfirmedBy, p.Version)
	}
	if p.Reason != "" {
		fmt.Fprintln(c.Out, p.Reason)
	}
	if p.ExpectedSeconds > 0 {
		fmt.Fprintf(c.Out, "about %.0f s, and the time in which engines finish their streams\n", p.ExpectedSeconds)
	}
}

func (c *CLI) printCancel(response *sfv1.CancelResponse) error {
	if done, err := c.json(response); done {
		return err
	}
	fmt.Fprintf(c.Out, "%s: %s\n", response.Outcome, response.Reason)
	return nil
}

func (c *CLI) printConfirm(response *sfv1.ConfirmResponse) error {
	if done, err := c.json(response); done {
		return err
	}
	if response.Outcome == outcomeAccepted {
		fmt.Fprintf(c.Out, "accepted as version %d %s\n", response.Version, response.Reason)
		return nil
	}
	fmt.Fprintf(c.Out, "%s: %s\n", response.Outcome, response.Reason)
	return c.printVersions(response.Changed)
}

func (c *CLI) printVersions(versions []*sfv1.VersionEntry) error {
	if len(versions) == 0 {
		return nil
	}
	var rows [][]string
	for _, v := range versions {
		at := ""
		if v.AcceptedUnixMs > 0 {
			at = time.UnixMilli(v.AcceptedUnixMs).UTC().Format(time.RFC3339)
		}
		rows = append(rows, []string{fmt.Sprint(v.Version), fmt.Sprint(v.IntentVersion), at, v.Author, v.PlanId, v.Summary})
	}
	return c.table("VERSION\tCHANGE\tACCEPTED\tBY\tPLAN\tWHAT", rows)
}
