package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sassafrasfield/internal/testfleet"
	"sassafrasfield/internal/testservers"
)

// modelName is the only model of these fleets, and apiKey is the key of the organisation "studio".
const (
	modelName = "critique"
	apiKey    = "key-of-studio"
)

// fleetOptions describe a test fleet.
type fleetOptions struct {
	instances, engines, services int
	engineFlags                  []string
	// entryTables are additional lines in each entry's settings.
	entryTables string
	// limit are additional lines in the organisation's configuration.
	limit string
}

// startFleet starts a fleet and puts its first configuration in force.
func startFleet(ctx context.Context, t testing.TB, o fleetOptions) *testfleet.Fleet {
	t.Helper()
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	bin, err := testfleet.Bin()
	must(err)
	fleet := testfleet.New(bin, t.TempDir())
	t.Cleanup(fleet.Stop)
	fleet.EntryExtra = "balancer_lag = \"100ms\"\n"
	fleet.EntryTables = o.entryTables
	must(fleet.StartPlatform(ctx))
	flags := append([]string{"--model", modelName, "--model-version", "1"}, o.engineFlags...)
	for i := range o.engines {
		_, err := fleet.AddEngine(ctx, fmt.Sprintf("engine-%d", i), "hall-a", flags...)
		must(err)
	}
	for i := range o.services {
		_, err := fleet.AddService(ctx, fmt.Sprintf("portal-%d", i), "hall-a")
		must(err)
	}
	for i := range o.instances {
		_, err := fleet.AddInstance(ctx, fmt.Sprintf("inst-%d", i), "hall-a")
		must(err)
	}
	must(declare(ctx, fleet, intentOf(fleet, o)))
	return fleet
}

func intentOf(fleet *testfleet.Fleet, o fleetOptions) string {
	var text strings.Builder
	text.WriteString("name = \"first\"\n")
	if len(fleet.Engines) > 0 {
		fmt.Fprintf(&text, "[[model]]\nname = %q\nversion = \"1\"\n", modelName)
		fmt.Fprintf(&text, "[[pool]]\nname = \"main\"\nmodel = %q\nmin_serving = 1\n", modelName)
	}
	for _, e := range fleet.Engines {
		fmt.Fprintf(&text, "[[engine]]\nid = %q\naddress = %q\nzone = %q\npool = \"main\"\nfencing = \"refuse\"\n", e.ID, e.Address, e.Zone)
	}
	if len(fleet.Services) > 0 {
		text.WriteString("[[service]]\nname = \"portal\"\nprefix = \"/portal\"\n")
	}
	for _, s := range fleet.Services {
		fmt.Fprintf(&text, "[[service.upstream]]\nid = %q\naddress = %q\nzone = %q\n", s.ID, s.Address, s.Zone)
	}
	sum := sha256.Sum256([]byte(apiKey))
	fmt.Fprintf(&text, "[[organisation]]\nname = \"studio\"\nkey_hashes = [%q]\n%s\n", hex.EncodeToString(sum[:]), o.limit)
	return text.String()
}

// declare puts an intent in force on all instances.
func declare(ctx context.Context, fleet *testfleet.Fleet, intent string) error {
	path := filepath.Join(fleet.Dir, "intent.toml")
	if err := os.WriteFile(path, []byte(intent), 0o644); err != nil {
		return err
	}
	sfctl := func(args ...string) ([]byte, error) {
		args = append([]string{"--control", fleet.Instances[0].ControlAddress, "--operator", "test", "--timeout", "30s"}, args...)
		return exec.CommandContext(ctx, filepath.Join(fleet.Bin, "sfctl"), args...).CombinedOutput()
	}
	err := testfleet.Until(ctx, "sf-control answers", func() bool {
		_, err := sfctl("status")
		return err == nil
	})
	if err != nil {
		return err
	}
	output, err := sfctl("--output", "json", "declare", path)
	if err != nil {
		return fmt.Errorf("declare: %w: %s", err, output)
	}
	var plan struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(output, &plan); err != nil {
		return err
	}
	if output, err = sfctl("confirm", "--follow", plan.ID); err != nil {
		return fmt.Errorf("confirm: %w: %s", err, output)
	}
	return nil
}

// started returns the number of streams that the engines accepted, according to the engines' own records.
func started(ctx context.Context, t testing.TB, fleet *testfleet.Fleet) int {
	t.Helper()
	total := 0
	for _, e := range fleet.Engines {
		var book testservers.EngineRecord
		if err := testfleet.Post(ctx, e.Address, testservers.PathRecord, nil, &book); err != nil {
			t.Fatal(err)
		}
		total += book.Started
	}
	return total
}

func setFaults(ctx context.Context, t testing.TB, e *testfleet.Engine, faults testservers.EngineFaults) {
	t.Helper()
	if err := testfleet.Post(ctx, e.Address, testservers.PathFault, faults, nil); err != nil {
		t.Fatal(err)
	}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// gauge reads a gauge or a counter of an entry.
func gauge(t testing.TB, entry, name string) int {
	t.Helper()
	res, err := http.Get("http://" + entry + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var all map[string]struct {
		Value int `json:"value"`
		Count int `json:"count"`
	}
	if err := json.NewDecoder(res.Body).Decode(&all); err != nil {
		t.Fatal(err)
	}
	return all[name].Value + all[name].Count
}
