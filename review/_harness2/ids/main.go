// Command ids has the engines of a service replaced by ones of a new software version, which number their events in steps of ten. It
// checks that requests of kept connections that are passed on to them are answered.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strings"
	"sync"
	"time"

	"sassafrasfield/platform/wire"
	"sassafrasfield/review/_harness2/base"
)

const (
	instances = 3
	engines   = 6
	clients   = 6
	events    = 20
	pause     = 30 * time.Millisecond
	idStep    = 10
	// gap is the time between two replacements, servesFor how long an engine serves after it has reported that it drains.
	gap       = time.Second
	servesFor = 2500 * time.Millisecond
	load      = 12 * time.Second
	// tolerated is the number of closed connections that the rule allows.
	tolerated = 3
)

// result is what a client received.
type result struct {
	id, instance, text string
	status             int
	kept, complete     bool
}

func main() {
	record, err := os.Create(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	lost, err := run(record)
	switch {
	case err != nil:
		fmt.Fprintln(record, "could not run:", err)
		os.Exit(2)
	case lost > tolerated:
		os.Exit(1)
	}
}

func run(record io.Writer) (lost int, err error) {
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
	add := func(zone, phase, version string, step int) error {
		e := &base.Engine{ID: fmt.Sprintf("i-%d", len(list)+1), Service: base.Models, Zone: zone, Version: version, Events: events, Pause: pause, IDStep: step}
		list = append(list, e)
		return base.StartEngine(f.Store, e, f.Address(), phase)
	}
	for i := range engines {
		phase := wire.PhaseDecode
		if i < 4 { // the share of engines that prefill at first is about 0.7
			phase = wire.PhasePrefill
		}
		if err := add([]string{"hall-a", "hall-b"}[i%2], phase, "v1", 1); err != nil {
			return 0, err
		}
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

	var mu sync.Mutex
	var results []result
	var wait sync.WaitGroup
	began := time.Now()
	for c := range clients {
		wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for n := 0; time.Since(began) < load; n++ {
				r := stream(ctx, client, f.Instances[c%instances], fmt.Sprintf("c%d-%03d", c, n))
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	step := idStep
	if os.Getenv("TROUBLE") == "0" {
		step = 0 // nothing is replaced
	}
	for i := 4; i < engines && step > 0; i++ {
		old := list[i]
		if err := add(old.Zone, wire.PhaseDecode, "v2", step); err != nil {
			return 0, err
		}
		time.Sleep(gap / 2)
		if err := old.Drain(); err != nil {
			return 0, err
		}
		fmt.Fprintf(record, "%s drains at %d ms, its successor is %s\n", old.ID, time.Since(began).Milliseconds(), list[len(list)-1].ID)
		wait.Go(func() {
			time.Sleep(servesFor)
			old.RemoveEntry()
			old.Close()
		})
		time.Sleep(gap / 2)
	}
	wait.Wait()
	ranAt := map[string]string{}
	for _, e := range list {
		for _, r := range e.Runs() {
			ranAt[r.Request] += " " + e.ID
		}
	}
	whole := 0
	for _, r := range results {
		received := strings.Count(r.text, "data: ")
		if r.status == http.StatusOK && r.complete && received == events {
			whole++
			continue
		}
		verdict := ""
		if r.kept && ranAt[r.id] != "" && r.status == 0 {
			verdict = "LOST: "
			lost++
		}
		fmt.Fprintf(record, "%sclient %s at %s, kept connection %t: status %d, %d events, complete %t %s; ran at%s\n", verdict, r.id, r.instance, r.kept, r.status, received, r.complete, failure(r), ranAt[r.id])
	}
	fmt.Fprintf(record, "%d of %d streams whole; %d requests of kept connections were passed on, and their connections closed without an answer (%d are allowed)\n", whole, len(results), lost, tolerated)
	for _, line := range strings.Split(f.Instances[0].Process.Log(), "\n") {
		if strings.Contains(line, "out of sequence") && strings.Contains(line, "stream ended") {
			fmt.Fprintln(record, "log:", line)
			break
		}
	}
	return lost, nil
}

// failure returns the error of a request without an answer.
func failure(r result) string {
	if r.status == 0 {
		return r.text[strings.LastIndex(r.text, ": ")+1:]
	}
	return ""
}

// stream sends a request and reads its answer.
func stream(ctx context.Context, client *http.Client, in *base.Instance, id string) result {
	r := result{id: id, instance: in.Name}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { r.kept = info.Reused }})
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.Front+"/audit/1", strings.NewReader("body of "+id))
	request.Host = base.Host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, "8000")
	request.Header.Set("X-Model", "m")
	request.Header.Set(wire.TokenCounts, "100,60")
	request.Header.Set(wire.PrefixHashes, "aa:50,"+fmt.Sprintf("%x", id)+":50")
	response, err := client.Do(request)
	if err != nil {
		r.text = err.Error()
		return r
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	r.status, r.text, r.complete = response.StatusCode, string(text), err == nil
	return r
}
