package testservers

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// ServeEngines runs one engine for each id in this process. The first listens on address
// (host:port), the others on consecutive ports after it.
func ServeEngines(address string, ids []string, options func(id string) EngineOptions) error {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, "standin")
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return errors.Wrap(err, "standin: port")
	}
	var servers errgroup.Group
	for i, id := range ids {
		server := &http.Server{
			Addr:    net.JoinHostPort(host, strconv.Itoa(port+i)),
			Handler: NewEngine(options(id)).Handler(), ReadHeaderTimeout: 10 * time.Second,
		}
		servers.Go(func() error { return errors.Wrap(server.ListenAndServe(), id) })
	}
	return servers.Wait()
}
