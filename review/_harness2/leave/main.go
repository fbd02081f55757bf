// Command leave has an engine leave while it streams answers that end with their connections. It checks that no stream ends as if
// complete before its last event.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"sassafrasfield/platform/wire"
	"sassafrasfield/review/_harness2/base"
)

const (
	engines   = 6
	instances = 3
	events    = 60
	pause     = 80 * time.Millisecond
	// perInstance is the number of streams at each instance.
	perInstance = 2
	// leaves is the index of the engine that leaves. It begins in the decode role.
	leaves = 4
	// servesFor is drain_ms and a little longer.
	servesFor = 2300 * time.Millisecond
)

// result is what a client received.
type result struct {
	id, instance, text string
	status             int
	complete           bool
}

func main() {
	record, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	broken, err := run(record)
	switch {
	case err != nil:
		fmt.Fprintln(record, "could not run:", err)
		os.Exit(2)
	case broken > 0:
		os.Exit(1)
	}
}

func run(record io.Writer) (broken int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	f, err := base.NewFleet(dir)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	var list []*base.Engine
	for i := range engines {
		phase := wire.PhaseDecode
		if i < 4 { // the share of engines that prefill at first is about 0.7
			phase = wire.PhasePrefill
		}
		e := &base.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: base.Models, Zone: []string{"hall-a", "hall-b"}[i%2], Events: events, Pause: pause, Unframed: true}
		if err := base.StartEngine(f.Store, e, f.Address(), phase); err != nil {
			return 0, err
		}
		list = append(list, e)
	}
	for i := range instances {
		if _, err := f.AddInstance([]string{"hall-a", "hall-b"}[i%2]); err != nil {
			return 0, err
		}
	}
	if err := f.AwaitReady(ctx); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second) // the engines take their roles

	results := make([]result, instances*perInstance)
	var clients sync.WaitGroup
	began := time.Now()
	for i := range results {
		clients.Go(func() { results[i] = stream(ctx, f.Instances[i%instances], fmt.Sprintf("a-%02d", i)) })
		time.Sleep(50 * time.Millisecond)
	}
	if os.Getenv("TROUBLE") != "0" {
		leaving := list[leaves]
		leaving.RemoveEntry()
		fmt.Fprintf(record, "entry of %s removed at %d ms\n", leaving.ID, time.Since(began).Milliseconds())
		time.Sleep(servesFor)
		leaving.Close()
		fmt.Fprintf(record, "%s exits at %d ms\n", leaving.ID, time.Since(began).Milliseconds())
	}
	clients.Wait()
	for _, e := range list {
		for _, r := range e.Runs() {
			fmt.Fprintf(record, "run of %s at %s from %d to %d ms, %d of %d events made\n", r.Request, e.ID, r.Began.Sub(began).Milliseconds(), r.Ended.Sub(began).Milliseconds(), r.Events(), events)
		}
	}
	for _, r := range results {
		received := strings.Count(r.text, "data: ")
		verdict := ""
		if r.status == http.StatusOK && r.complete && received < events {
			verdict = "BROKEN: it looks complete, "
			broken++
		}
		fmt.Fprintf(record, "%sclient %s at %s: status %d, %d of %d events, complete %t\n", verdict, r.id, r.instance, r.status, received, events, r.complete)
	}
	fmt.Fprintf(record, "%d violations of ORDER\n", broken)
	for _, in := range f.Instances {
		for _, line := range strings.Split(in.Process.Log(), "\n") {
			if strings.Contains(line, "unframed answer") {
				fmt.Fprintln(record, "log:", line)
			}
		}
	}
	return broken, nil
}

// stream sends a request and reads its answer.
func stream(ctx context.Context, in *base.Instance, id string) result {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.Front+"/audit/1", strings.NewReader("body of "+id))
	request.Host = base.Host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, "15000")
	request.Header.Set("X-Model", "m")
	request.Header.Set(wire.TokenCounts, "100,60")
	request.Header.Set(wire.PrefixHashes, "aa:50,"+fmt.Sprintf("%x", id)+":50")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return result{id: id, instance: in.Name, text: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return result{id: id, instance: in.Name, status: response.StatusCode, text: string(text), complete: err == nil}
}
