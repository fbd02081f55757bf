package operatorcli

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
)

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
	return c.printRunning(response.Msg.Running)
}

// printRunning prints a line for each plan that is still changing engines.
func (c *CLI) printRunning(plans []*sfv1.Plan) error {
	if len(plans) == 0 {
		return nil
	}
	var rows [][]string
	for _, p := range plans {
		done := 0
		for _, s := range p.Steps {
			if s.State == stepDone {
				done++
			}
		}
		rows = append(rows, []string{p.Id, p.IntentName, p.ConfirmedBy, fmt.Sprint(p.Version), fmt.Sprintf("%d of %d", done, len(p.Steps))})
	}
	return c.table("RUNNING\tINTENT\tCONFIRMED BY\tVERSION\tSTEPS DONE", rows)
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
