package httptransport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sassafrasfield/internal/rawserver"
)

const (
	refusedResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	ranResponse     = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// TestNoRequestAfterTheLastResponse guards against the copy of a refusal that is taken for the response to the next request, which gets
// the connection while the refusal is still being looked at.
func TestNoRequestAfterTheLastResponse(t *testing.T) {
	address := startRefusingOnce(t)
	var isBegun atomic.Bool
	begun, release := make(chan struct{}), make(chan struct{})
	client := http.Client{Timeout: 5 * time.Second, Transport: Isolate(&http.Transport{}, WithLastResponse(func(response *http.Response) bool {
		if response.StatusCode == http.StatusOK {
			return false
		}
		if isBegun.CompareAndSwap(false, true) {
			close(begun)
			<-release
		}
		return true
	}))}
	first := make(chan int, 1)
	go func() { first <- getStatus(t, &client, address) }()
	<-begun
	if status := getStatus(t, &client, address); status != http.StatusOK {
		t.Errorf("second request: status %d, that of the first one", status)
	}
	close(release)
	if status := <-first; status != http.StatusServiceUnavailable {
		t.Errorf("first request: status %d", status)
	}
	if status := getStatus(t, &client, address); status != http.StatusOK {
		t.Errorf("third request: status %d", status)
	}
}

// getStatus returns the status of a response, 0 for none.
func getStatus(t *testing.T, client *http.Client, address string) int {
	response, err := client.Get("http://" + address)
	if err != nil {
		t.Error(err)
		return 0
	}
	_ = response.Body.Close() // it is empty
	return response.StatusCode
}

// startRefusingOnce starts a server that refuses all requests on its first connection, and runs those on others. It returns its address.
func startRefusingOnce(t *testing.T) string {
	t.Helper()
	var isUsed atomic.Bool
	return rawserver.StartConns(t, func(conn net.Conn) {
		if isUsed.Swap(true) {
			answerAll(conn, ranResponse)
			return
		}
		answerAll(conn, refusedResponse)
	})
}

// answerAll answers all requests of a connection with the same response.
func answerAll(conn net.Conn, response string) {
	requests := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(requests); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response) // an error shows at the client
	}
}
