package operatorcli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

// json prints a message when JSON is asked for, and reports whether it did.
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

// table prints rows in columns.
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
	fmt.Fprintf(c.Out, "plan %s (%s): %s, built from change %d\n", p.Id, p.IntentName, p.State, p.BuiltFrom)
	var steps [][]string
	for _, s := range p.Steps {
		steps = append(steps, []string{fmt.Sprint(s.Number), s.Kind, s.State, fmt.Sprintf("%.0fs", s.OutSeconds), s.Text})
	}
	if err := c.table("STEP\tKIND\tSTATE\tOUT\tWHAT", steps); err != nil {
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

func (c *CLI) printConfirm(response *sfv1.ConfirmResponse) error {
	if done, err := c.json(response); done {
		return err
	}
	if response.Outcome == "accepted" {
		fmt.Fprintf(c.Out, "accepted as version %d\n", response.Version)
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

func (c *CLI) status(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.SystemStatus(ctx, connect.NewRequest(&sfv1.SystemStatusRequest{}))
	if err != nil {
		return err
	}
	if done, err := c.json(response.Msg); done {
		return err
	}
	table := "answers"
	if !response.Msg.TableReachable {
		table = "does not answer"
	}
	fmt.Fprintf(c.Out, "version %d, change %d; this instance has version %d; the table %s\n",
		response.Msg.HeadVersion, response.Msg.IntentVersion, response.Msg.LocalVersion, table)
	return nil
}

func (c *CLI) history(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.History(ctx, connect.NewRequest(&sfv1.HistoryRequest{Limit: c.limit}))
	if err != nil {
		return err
	}
	if done, err := c.json(response.Msg); done {
		return err
	}
	return c.printVersions(response.Msg.Versions)
}

func (c *CLI) engines(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.Engines(ctx, connect.NewRequest(&sfv1.EnginesRequest{}))
	if err != nil {
		return err
	}
	if done, err := c.json(response.Msg); done {
		return err
	}
	var rows [][]string
	for _, e := range response.Msg.Engines {
		reported := e.Reported
		if !e.Reachable {
			reported = "no answer"
		}
		rows = append(rows, []string{e.Id, e.Pool, e.Zone, e.Routing, fmt.Sprint(e.Running), e.Want, reported, e.Fencing})
	}
	return c.table("ENGINE\tPOOL\tZONE\tROUTING\tRUNNING\tWANT\tREPORTED\tFENCING", rows)
}

func (c *CLI) instances(ctx context.Context) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	response, err := client.Instances(ctx, connect.NewRequest(&sfv1.InstancesRequest{}))
	if err != nil {
		return err
	}
	if done, err := c.json(response.Msg); done {
		return err
	}
	var rows [][]string
	for _, i := range response.Msg.Instances {
		rows = append(rows, []string{
			i.Id, i.Zone, i.PlatformState, fmt.Sprint(i.Reachable), fmt.Sprint(i.Ready),
			fmt.Sprint(i.EntryVersion), fmt.Sprint(i.ControlVersion), strings.Join(i.Leases, ","),
		})
	}
	return c.table("INSTANCE\tZONE\tPLATFORM\tREACHABLE\tREADY\tENTRY\tCONTROL\tLEASES", rows)
}
