package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/platform"
)

// TestUnlistedInstancesAreShown guards against instances that are missing in
// the operator's overview. The platform's list was read before the others
// started and not since, as happens while the platform is slow to answer. The
// other instances send requests to this one all the time, so an operator must
// see them.
func TestUnlistedInstancesAreShown(t *testing.T) {
	s := DefaultSettings()
	s.Instance = "inst-1"
	d, err := New(s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	const unreachable = "127.0.0.1:1"
	d.members.adopt([]platform.Instance{{ID: "inst-1", Kind: platform.KindOwn, State: platform.InstanceLive, Control: unreachable}})
	for _, id := range []string{"inst-3", "inst-2"} {
		d.notePeer(&sfv1.ExchangeRequest{From: id, Control: unreachable})
	}
	response, err := (&operatorService{d}).Instances(context.Background(), connect.NewRequest(&sfv1.InstancesRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	var shown []string
	for _, row := range response.Msg.Instances {
		shown = append(shown, row.Id+" "+row.PlatformState)
	}
	if want := []string{"inst-1 live", "inst-2 not listed", "inst-3 not listed"}; fmt.Sprint(shown) != fmt.Sprint(want) {
		t.Errorf("the overview shows %q, want %q", shown, want)
	}
}
