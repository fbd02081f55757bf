// Command cutlink cuts the path between one machine and one engine for a moment, while the engine streams answers that may be resumed.
// It checks that no request goes on at another engine while the one before still works on it.
package main

import (
	"bufio"
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
	instances = 4
	events    = 60
	pause     = 80 * time.Millisecond
	cutFor    = 1750 * time.Millisecond
	// tolerated is how long the engine before may still work once another one has gone on.
	tolerated = 400 * time.Millisecond
	streams   = 12
	// worksOn is the index of the one engine that does not drop a request when its connection closes. It begins in the decode role.
	worksOn = 4
)

// result is what a client received.
type result struct {
	id, text string
	status   int
	complete bool
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
	links := map[string]*base.Link{}
	for i := range engines {
		phase, listen := wire.PhaseDecode, f.Address()
		if i < 4 { // the share of engines that prefill at first is about 0.7
			phase = wire.PhasePrefill
		}
		e := &base.Engine{ID: fmt.Sprintf("i-%d", i+1), Service: base.Models, Zone: []string{"hall-a", "hall-b"}[i%2], Address: f.Address(), Events: events, Pause: pause, WorksOn: i == worksOn}
		if links[e.ID], err = base.StartLink(e.Address, listen); err != nil {
			return 0, err
		}
		if err := base.StartEngine(f.Store, e, listen, phase); err != nil {
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
	time.Sleep(6 * time.Second) // each machine earns retries, and the engines take their roles
	in := f.Instances[0]
	warmUp(ctx, f)

	results := make([]result, streams)
	var clients sync.WaitGroup
	began := time.Now()
	for i := range streams {
		clients.Go(func() { results[i] = stream(ctx, in, fmt.Sprintf("q-%02d", i)) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	cutAt, healedAt, cut := time.Now(), time.Now(), ""
	if os.Getenv("TROUBLE") != "0" {
		if cut = list[worksOn].ID; working(list[worksOn]) == 0 {
			return 0, fmt.Errorf("engine %s has no streams", cut)
		}
		links[cut].Cut(in.Process.PID())
		time.Sleep(cutFor)
		links[cut].Heal()
		healedAt = time.Now()
	}
	clients.Wait()
	time.Sleep(time.Second)
	fmt.Fprintf(record, "%s lost the path to engine %q from %d to %d ms\n", in.Name, cut, cutAt.Sub(began).Milliseconds(), healedAt.Sub(began).Milliseconds())
	for _, r := range results {
		fmt.Fprintf(record, "client %s: status %d, %d events, complete %t\n", r.id, r.status, strings.Count(r.text, "data: "), r.complete)
	}
	for _, r := range results {
		broken += check(record, list, r.id, cut, healedAt, began)
	}
	fmt.Fprintf(record, "%d violations of TWICE\n", broken)
	for _, line := range strings.Split(in.Process.Log(), "\n") {
		if strings.Contains(line, "stream is silent") || strings.Contains(line, "run left") || strings.Contains(line, "stream continues") {
			fmt.Fprintln(record, "log:", line)
		}
	}
	return broken, nil
}

// warmUp has each instance serve some streams.
func warmUp(ctx context.Context, f *base.Fleet) {
	var clients sync.WaitGroup
	for i, in := range f.Instances {
		for n := range 10 {
			clients.Go(func() { stream(ctx, in, fmt.Sprintf("warm-%d-%d", i, n)) })
		}
	}
	clients.Wait()
}

// working returns the number of runs in progress at an engine.
func working(e *base.Engine) (n int) {
	for _, r := range e.Runs() {
		if r.Ended.IsZero() {
			n++
		}
	}
	return n
}

// check counts the runs of a request that began at another engine than the one that was cut off, while that one worked on for longer
// than tolerated, although the path was back by then.
func check(record io.Writer, list []*base.Engine, id, cut string, healed, began time.Time) (broken int) {
	var runs []base.Run
	for _, e := range list {
		for _, r := range e.Runs() {
			if r.Request == id {
				runs = append(runs, r)
			}
		}
	}
	at := func(t time.Time) int64 { return t.Sub(began).Milliseconds() }
	for _, r := range runs {
		fmt.Fprintf(record, "run of %s at %s after event %q from %d to %d ms\n", id, r.Engine, r.LastEvent, at(r.Began), at(r.Ended))
	}
	for _, first := range runs {
		for _, next := range runs {
			judged := next.Began.Add(tolerated)
			if first.Engine == next.Engine || !next.Began.After(first.Began) || !first.Ended.After(judged) {
				continue
			}
			if first.Engine == cut && judged.Before(healed) {
				fmt.Fprintf(record, "%s: the path to %s was not back %d ms after the other run began\n", id, cut, tolerated.Milliseconds())
				continue
			}
			broken++
			fmt.Fprintf(record, "BROKEN: %s goes on at %s from %d ms on, %s works on it until %d ms, the path is back since %d ms\n",
				id, next.Engine, at(next.Began), first.Engine, at(first.Ended), at(healed))
		}
	}
	return broken
}

// stream sends a request and reads its answer.
func stream(ctx context.Context, in *base.Instance, id string) result {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.Front+"/question/1", strings.NewReader("body of "+id))
	request.Host = base.Host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, "15000")
	request.Header.Set("X-Model", "m")
	request.Header.Set(wire.TokenCounts, "100,60")
	request.Header.Set(wire.PrefixHashes, "aa:50,"+fmt.Sprintf("%x", id)+":50")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return result{id: id, text: err.Error()}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(bufio.NewReader(response.Body))
	return result{id: id, status: response.StatusCode, text: string(text), complete: err == nil}
}
