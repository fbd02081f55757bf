package entry

import (
	"time"

	"sassafrasfield/internal/connlimit"
	"sassafrasfield/internal/idempotency"
	"sassafrasfield/internal/logging"
	"sassafrasfield/internal/settings"
	"sassafrasfield/internal/stream"
	"sassafrasfield/internal/tomlfile"
	"sassafrasfield/internal/tracing"
)

// Settings of sf-entry.
type Settings struct {
	// Instance is the instance's ID in the platform's instance list.
	Instance string `toml:"instance"`
	// Zone is the availability zone of the instance.
	Zone string `toml:"zone"`
	// Listen is the address for callers and the load balancer's probes.
	Listen string `toml:"listen"`
	// Local is the address for sf-control of the same instance.
	Local string `toml:"local"`
	// Platform is the address of the platform service.
	Platform string `toml:"platform"`
	// PlatformTimeout bounds each call to the platform. Default 2s.
	PlatformTimeout time.Duration `toml:"platform_timeout"`
	// StaleAfter is how long the entry accepts new work without a heartbeat from sf-control. Default 5s.
	StaleAfter time.Duration `toml:"stale_after"`
	// ShutdownTimeout bounds the wait for running streams at shutdown. Default 10m.
	ShutdownTimeout time.Duration `toml:"shutdown_timeout"`
	// BalancerLag is how long the entry still accepts requests from the load balancer after it reported
	// that it is not ready. Default 3s.
	BalancerLag time.Duration `toml:"balancer_lag"`
	// DemandWindow is the time over which the admitted work is measured for the role policy. Default 10s.
	DemandWindow time.Duration `toml:"demand_window"`
	// KeepAlive is the time without a piece after which a comment is sent in a streamed answer, so that no
	// intermediary closes the connection as idle. Default 10s.
	KeepAlive time.Duration `toml:"keep_alive"`
	// BodyTimeout bounds the time to read a request's body. Default 30s.
	BodyTimeout time.Duration `toml:"body_timeout"`
	// WriteTimeout is how long a write to a caller that reads nothing may block. After that the stream is
	// cancelled. Default 30s.
	WriteTimeout time.Duration        `toml:"write_timeout"`
	Stall        stream.StallSettings `toml:"stall"`
	Limits       LimitSettings        `toml:"limits"`
	Connections  connlimit.Settings   `toml:"connections"`
	Engine       EngineSettings       `toml:"engine"`
	Routing      RoutingSettings      `toml:"routing"`
	Admission    AdmissionSettings    `toml:"admission"`
	Rate         RateSettings         `toml:"rate"`
	Retry        RetrySettings        `toml:"retry"`
	Claims       idempotency.Settings `toml:"claims"`
	Log          logging.Settings     `toml:"log"`
	Trace        tracing.Settings     `toml:"trace"`
}

// LimitSettings limit what a caller may send.
type LimitSettings struct {
	// MaxBodyBytes is the maximum size of a request's body. Default 4 MiB.
	MaxBodyBytes int `toml:"max_body_bytes"`
	// MaxHeaderBytes is the maximum size of a request's headers. Default 64 KiB.
	MaxHeaderBytes int `toml:"max_header_bytes"`
	// WriteBufferBytes is the kernel's send buffer for an answer that the caller has not read yet. The
	// kernel doubles the value to account for its own overhead. Default 64 KiB.
	WriteBufferBytes int `toml:"write_buffer_bytes"`
	// ReadBufferBytes is the kernel's receive buffer for what a caller sends and the entry has not read yet. A caller
	// sends at most about as much in each round trip. Default 16 KiB.
	ReadBufferBytes int `toml:"read_buffer_bytes"`
	// MemoryMB is the memory in MiB that the entry may take. The connections of callers and their requests have parts
	// of it. Default 512.
	MemoryMB int `toml:"memory_mb"`
	// MaxFDs is the number of file descriptors that the entry may open. Default 0: what the kernel allows.
	MaxFDs int `toml:"max_fds"`
	// MaxPromptTokens is the maximum number of tokens of a prompt, estimated. Default 131072.
	MaxPromptTokens int `toml:"max_prompt_tokens"`
	// MaxAnswerTokens is the maximum number of tokens of an answer. Default 4096.
	MaxAnswerTokens int `toml:"max_answer_tokens"`
}

// EngineSettings configure the calls to engines and services.
type EngineSettings struct {
	// Timeout bounds a call, and the wait for a stream's first bytes. Default 30s.
	Timeout time.Duration `toml:"timeout"`
	// ReportEvery is the interval between reads of an engine's report. Default 200ms.
	ReportEvery time.Duration `toml:"report_every"`
	// TransferTimeout bounds the transfer of a prompt's KV cache from a prefill engine to a decode engine.
	// Default 10s.
	TransferTimeout time.Duration `toml:"transfer_timeout"`
	// Attempts is the maximum number of attempts of a request, including the first one. Default 3.
	Attempts int `toml:"attempts"`
}

// DefaultSettings returns the default settings. Addresses and names have no defaults.
func DefaultSettings() *Settings {
	return &Settings{
		PlatformTimeout: 2 * time.Second,
		StaleAfter:      5 * time.Second,
		ShutdownTimeout: 10 * time.Minute,
		BalancerLag:     3 * time.Second,
		DemandWindow:    10 * time.Second,
		KeepAlive:       10 * time.Second,
		BodyTimeout:     30 * time.Second,
		WriteTimeout:    30 * time.Second,
		Stall:           stream.DefaultStall(),
		Limits: LimitSettings{
			MaxBodyBytes: 4 << 20, MaxHeaderBytes: 64 << 10, WriteBufferBytes: 64 << 10, ReadBufferBytes: 16 << 10, MemoryMB: 512,
			MaxPromptTokens: 131072, MaxAnswerTokens: 4096,
		},
		Engine:      EngineSettings{Timeout: 30 * time.Second, ReportEvery: 200 * time.Millisecond, TransferTimeout: 10 * time.Second, Attempts: 3},
		Connections: connlimit.Default(),
		Routing:     defaultRouting(),
		Admission:   defaultAdmission(),
		Rate:        defaultRate(),
		Retry:       defaultRetry(),
		Claims:      idempotency.Default(),
		Log:         logging.Default(),
		Trace:       tracing.Default(),
	}
}

// Check implements settings.Checker.
func (s *Settings) Check(file *tomlfile.File) {
	settings.Required(file, "instance", s.Instance)
	settings.Required(file, "zone", s.Zone)
	addresses := settings.Addresses{File: file}
	addresses.Listen("listen", s.Listen)
	addresses.Listen("local", s.Local)
	addresses.Peer("platform", s.Platform)
	settings.Between(file, "platform_timeout", s.PlatformTimeout, time.Millisecond, time.Minute)
	settings.Between(file, "stale_after", s.StaleAfter, 100*time.Millisecond, 10*time.Minute)
	settings.Between(file, "shutdown_timeout", s.ShutdownTimeout, 0, 24*time.Hour)
	settings.Between(file, "balancer_lag", s.BalancerLag, 0, time.Minute)
	settings.Between(file, "demand_window", s.DemandWindow, 100*time.Millisecond, 10*time.Minute)
	settings.Between(file, "keep_alive", s.KeepAlive, 10*time.Millisecond, time.Hour)
	settings.Between(file, "body_timeout", s.BodyTimeout, 10*time.Millisecond, time.Hour)
	settings.Between(file, "write_timeout", s.WriteTimeout, 10*time.Millisecond, time.Hour)
	s.Stall.Check(file, "stall")
	settings.IntBetween(file, "limits.max_body_bytes", s.Limits.MaxBodyBytes, 1<<10, 256<<20)
	settings.IntBetween(file, "limits.max_header_bytes", s.Limits.MaxHeaderBytes, 1<<10, 1<<20)
	settings.IntBetween(file, "limits.write_buffer_bytes", s.Limits.WriteBufferBytes, 4<<10, 16<<20)
	settings.IntBetween(file, "limits.read_buffer_bytes", s.Limits.ReadBufferBytes, 4<<10, 16<<20)
	settings.IntBetween(file, "limits.memory_mb", s.Limits.MemoryMB, 32, 1<<20)
	settings.IntBetween(file, "limits.max_fds", s.Limits.MaxFDs, 0, 1<<30)
	s.Connections.Check(file, "connections")
	if bound := s.connectionBounds().Bytes; bound > 0 && int64(s.Limits.MaxBodyBytes) > bound {
		file.Add("limits.max_body_bytes", "want at most %d, the part of memory_mb for requests", bound)
	}
	settings.IntBetween(file, "limits.max_prompt_tokens", s.Limits.MaxPromptTokens, 1, 16<<20)
	settings.IntBetween(file, "limits.max_answer_tokens", s.Limits.MaxAnswerTokens, 1, 1<<20)
	settings.Between(file, "engine.timeout", s.Engine.Timeout, 10*time.Millisecond, 10*time.Minute)
	settings.Between(file, "engine.report_every", s.Engine.ReportEvery, time.Millisecond, time.Minute)
	settings.Between(file, "engine.transfer_timeout", s.Engine.TransferTimeout, time.Millisecond, 10*time.Minute)
	settings.IntBetween(file, "engine.attempts", s.Engine.Attempts, 1, 20)
	s.Routing.check(file)
	s.Admission.check(file)
	s.Rate.check(file)
	s.Retry.check(file)
	s.Claims.Check(file, "claims", s.Engine.Timeout)
	s.Log.Check(file, "log")
	s.Trace.Check(file, "trace")
}

// connectionBounds returns the bounds on the connections of callers.
func (s *Settings) connectionBounds() connlimit.Bounds {
	return s.Connections.Bounds(connlimit.Resources{MemoryBytes: int64(s.Limits.MemoryMB) << 20, Descriptors: s.Limits.MaxFDs})
}
