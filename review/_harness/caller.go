package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"sassafrasfield/platform/wire"
)

const host = "ledger.example"

func listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// result is what a caller saw.
type result struct {
	id       string
	sent     time.Time
	ended    time.Time
	status   int
	events   []int
	complete bool
	// left is set if the caller gave up by itself.
	left  bool
	bytes int
	err   error
}

// caller has one connection that it keeps.
type caller struct {
	address string
	client  *http.Client
}

func newCaller(address string) *caller {
	return &caller{address: address, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1, DisableCompression: true}}}
}

// stream sends a request on a streaming route. The caller leaves after a pause of patience, or at the deadline.
func (c *caller) stream(id, path string, prompt int, deadline, patience time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, strings.NewReader("body of "+id))
	if err != nil {
		return result{id: id, err: err}
	}
	request.Host = host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("X-Model", "m")
	request.Header.Set(wire.TokenCounts, fmt.Sprintf("%d,100", prompt))
	request.Header.Set(wire.PrefixHashes, fmt.Sprintf("5c1e07a2:%d,%s:%d", prompt/2, id, prompt/2))
	r := result{id: id, sent: time.Now()}
	var left atomic.Bool
	idle := time.AfterFunc(patience, func() {
		left.Store(true)
		cancel()
	})
	defer idle.Stop()
	response, err := c.client.Do(request)
	if err != nil {
		r.ended, r.err, r.left = time.Now(), err, left.Load()
		return r
	}
	defer response.Body.Close()
	r.status = response.StatusCode
	reader := bufio.NewReader(response.Body)
	for {
		line, err := reader.ReadString('\n')
		r.bytes += len(line)
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ := strconv.Atoi(strings.TrimSpace(text))
			r.events = append(r.events, number)
			idle.Reset(patience)
		}
		if err != nil {
			r.ended, r.complete, r.left = time.Now(), errors.Is(err, io.EOF), left.Load()
			if !r.complete {
				r.err = err
			}
			return r
		}
	}
}

// call sends a request to a plain service.
func (c *caller) call(method, id, path string, deadline time.Duration) result {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var content io.Reader
	if method == http.MethodPost {
		content = strings.NewReader("body of " + id)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, content)
	if err != nil {
		return result{id: id, err: err}
	}
	request.Host = host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	r := result{id: id, sent: time.Now()}
	response, err := c.client.Do(request)
	r.ended = time.Now()
	if err != nil {
		r.err = err
		return r
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	r.status, r.bytes, r.err, r.complete = response.StatusCode, len(body), err, err == nil
	return r
}

// rawCall sends a POST with a target as it is written, on a connection of its own.
func rawCall(address, id, target string, deadline time.Duration) result {
	r := result{id: id, sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		r.err = err
		return r
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline)) // fails only if the connection is closed
	body := "body of " + id
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		target, host, wire.RequestID, id, wire.Deadline, deadline.Milliseconds(), len(body), body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		r.err = err
		return r
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	r.status, r.bytes, r.err, r.complete = response.StatusCode, len(answer), err, err == nil
	return r
}
