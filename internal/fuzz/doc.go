// Package fuzz has the fuzz targets for what reads bytes from outside: request
// bodies, engine event streams, settings, intents, resume tokens and the rows
// of the platform's table. Their seeds run with every `go test`; `make prove`
// runs each target for a bounded time.
package fuzz
