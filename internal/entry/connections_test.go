package entry_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"sassafrasfield/internal/callerapi"
)

// TestOversizedHeadersAreRefusedAsNotRun guards against a refusal before the handlers that does not say whether the request
// ran.
func TestOversizedHeadersAreRefusedAsNotRun(t *testing.T) {
	entry, _ := startCrowdedEntry(t, "[limits]\nmax_header_bytes = 4096\n")
	conn, err := net.Dial("tcp", entry)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "GET /portal/status HTTP/1.1\r\nHost: h\r\nX-Long: "+strings.Repeat("x", 8192)+"\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var body callerapi.ErrorBody
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusRequestHeaderFieldsTooLarge || body.Error.Outcome != callerapi.OutcomeNotRun ||
		response.Header.Get(callerapi.HeaderOutcome) != string(callerapi.OutcomeNotRun) || body.Error.Code != "headers_too_large" {
		t.Errorf("status %d, %v, %+v", response.StatusCode, response.Header, body.Error)
	}
}
