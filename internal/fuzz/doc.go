// Package fuzz has the fuzz targets for the parsers of external input: request
// bodies, event streams of engines, settings, intents, resume tokens and the rows
// of the platform's table. The seeds run with every `go test`; `make prove` runs
// each target for a limited time.
package fuzz
