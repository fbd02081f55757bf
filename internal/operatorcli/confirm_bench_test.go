package operatorcli_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/gen/sf/v1/sfv1connect"
	"sassafrasfield/internal/testservers"
)

// confirmations is the number of plans of each kind that each sub-benchmark
// confirms.
const confirmations = 20

// BenchmarkConfirm measures, with the default settings, the time from the call
// of Confirm until the response, until the version is in force on each instance,
// and until a plan that changes one engine's role is done (the simulated engine
// takes 200 ms for the change).
func BenchmarkConfirm(b *testing.B) {
	for _, instances := range []int{3, 9} {
		for _, delay := range []int{0, 200} {
			b.Run(fmt.Sprintf("instances=%d/table=%dms", instances, delay), func(b *testing.B) {
				for range b.N {
					benchmarkConfirm(b, instances, delay)
				}
			})
		}
	}
}

func benchmarkConfirm(b *testing.B, instances, delay int) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	f := startFleet(ctx, b, "", instances, 4, "--change-time", "200ms")
	f.must(f.PlatformFault(ctx, testservers.PlatformFaults{DelayMs: delay}))
	var answered, inForce, done []time.Duration
	for n := range confirmations {
		a, i, _ := f.timeConfirm(fmt.Sprintf(floorIntent, n%2))
		answered, inForce = append(answered, a), append(inForce, i)
	}
	for n := range confirmations {
		role := []string{"decode", "mixed"}[n%2]
		_, _, d := f.timeConfirm(fmt.Sprintf("[[engine]]\nid = \"engine-0\"\nrole = %q\n", role))
		done = append(done, d)
	}
	report(b, "answered", answered)
	report(b, "in-force", inForce)
	report(b, "done", done)
}

// timeConfirm declares and confirms a plan through the first instance and returns
// the times that BenchmarkConfirm measures.
func (f *planFleet) timeConfirm(text string) (answered, inForce, done time.Duration) {
	view := f.declare(text)
	client := sfv1connect.NewOperatorServiceClient(http.DefaultClient, "http://"+f.Instances[0].ControlAddress)
	started := time.Now()
	response, err := client.Confirm(f.ctx, connect.NewRequest(&sfv1.ConfirmRequest{PlanId: view.ID, Operator: "bench"}))
	f.must(err)
	if response.Msg.Outcome != "accepted" {
		f.t.Fatalf("%+v", response.Msg)
	}
	answered = time.Since(started)
	var work sync.WaitGroup
	for i := range f.Instances {
		work.Go(func() { f.waitInForce(i, response.Msg.Version) })
	}
	work.Wait()
	inForce = time.Since(started)
	for f.plan(view.ID).State != "done" && f.ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	return answered, inForce, time.Since(started)
}

func (f *planFleet) waitInForce(instance int, version int64) {
	client := sfv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+f.Instances[instance].ControlAddress)
	for f.ctx.Err() == nil {
		seen, err := client.InForce(f.ctx, connect.NewRequest(&sfv1.InForceRequest{}))
		if err == nil && seen.Msg.EntryVersion >= version {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func report(b *testing.B, name string, times []time.Duration) {
	slices.Sort(times)
	rank := func(share float64) float64 {
		return times[int(share*float64(len(times)-1)+0.5)].Seconds() * 1000
	}
	b.ReportMetric(rank(0.5), name+"-median-ms")
	b.ReportMetric(rank(0.99), name+"-p99-ms")
	b.ReportMetric(rank(1), name+"-worst-ms")
}
