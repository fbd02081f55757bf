// Package logging sets up the structured logs of a program.
package logging

import (
	"io"
	"log/slog"
	"slices"

	"sassafrasfield/internal/tomlfile"
)

// Settings of the logs.
type Settings struct {
	// Level is debug, info, warn or error. Default info.
	Level string `toml:"level"`
	// Format is text or json. Default text.
	Format string `toml:"format"`
}

// Default returns the default settings.
func Default() Settings {
	return Settings{Level: "info", Format: "text"}
}

// Check records invalid values as findings. The key is that of the table.
func (s Settings) Check(file *tomlfile.File, key string) {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, s.Level) {
		file.Add(key+".level", "want debug, info, warn or error, not %q", s.Level)
	}
	if !slices.Contains([]string{"text", "json"}, s.Format) {
		file.Add(key+".format", "want text or json, not %q", s.Format)
	}
}

// New returns a logger that writes to w and adds the program and the instance
// to each line as attributes.
func New(s Settings, w io.Writer, program, instance string) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.Level)); err != nil {
		level = slog.LevelInfo
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: plainError}
	var handler slog.Handler = slog.NewTextHandler(w, options)
	if s.Format == "json" {
		handler = slog.NewJSONHandler(w, options)
	}
	return slog.New(handler).With("program", program, "instance", instance)
}

// plainError logs an error as its message only, without the stack trace that some
// errors carry.
func plainError(_ []string, attr slog.Attr) slog.Attr {
	if err, ok := attr.Value.Any().(error); ok {
		attr.Value = slog.StringValue(err.Error())
	}
	return attr
}

// Part returns a logger for one part of a program, which adds the part to each
// line as an attribute.
func Part(log *slog.Logger, part string) *slog.Logger {
	return log.With("part", part)
}
