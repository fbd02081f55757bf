package forward

import (
	"net/http"
	"time"

	"sassafrasfield/internal/apikey"
	"sassafrasfield/internal/attempt"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/peers"
	"sassafrasfield/internal/placement"
	"sassafrasfield/internal/relay"
)

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// toMilliseconds rounds up, so that a positive time does not become 0.
func toMilliseconds(d time.Duration) uint32 {
	return uint32(max(0, (d + time.Millisecond - 1).Milliseconds()))
}

func requestToMessage(self peers.Peer, f *relay.Forwarded) *sfv1.ForwardRequest {
	req := f.Request
	return &sfv1.ForwardRequest{
		From: peers.PeerToMessage(self), Id: req.ID, Method: req.Method, Host: req.Host, Path: req.Path, Target: req.Target,
		Header: headerToMessage(req.Header), Body: req.Body, LastEvent: req.LastEvent, Prompt: promptToMessage(req.Prompt),
		TimeoutMs: toMilliseconds(f.Timeout), ElapsedMs: uint32(max(0, f.Elapsed.Milliseconds())), ConfigVersion: f.ConfigVersion,
		Service: f.Service, History: historyToMessage(f.History), UsageCounted: f.UsageCounted,
		Version: f.Version, Resumes: req.Resumes,
	}
}

func requestFromMessage(m *sfv1.ForwardRequest) *relay.Forwarded {
	header := headerFromMessage(m.GetHeader())
	return &relay.Forwarded{
		Request: &relay.Request{
			ID: m.GetId(), Method: m.GetMethod(), Host: m.GetHost(), Path: m.GetPath(), Target: m.GetTarget(), Header: header,
			Body: m.GetBody(), Credential: apikey.Read(header), WaitBudget: milliseconds(m.GetTimeoutMs()),
			Prompt: promptFromMessage(m.GetPrompt()), LastEvent: m.GetLastEvent(), Resumes: m.GetResumes(),
		},
		From: m.GetFrom().GetName(), Timeout: milliseconds(m.GetTimeoutMs()), Elapsed: milliseconds(m.GetElapsedMs()),
		ConfigVersion: m.GetConfigVersion(), Service: m.GetService(),
		History: historyFromMessage(m.GetHistory()), UsageCounted: m.GetUsageCounted(), Version: m.GetVersion(),
	}
}

func headerToMessage(header http.Header) []*sfv1.ForwardField {
	fields := make([]*sfv1.ForwardField, 0, len(header))
	for name, values := range header {
		fields = append(fields, &sfv1.ForwardField{Name: name, Values: values})
	}
	return fields
}

func headerFromMessage(fields []*sfv1.ForwardField) http.Header {
	header := make(http.Header, len(fields))
	for _, field := range fields {
		header[field.GetName()] = field.GetValues()
	}
	return header
}

func promptToMessage(p *placement.Prompt) *sfv1.ForwardPrompt {
	if p == nil {
		return nil
	}
	m := &sfv1.ForwardPrompt{Tokens: uint32(max(0, p.Tokens)), MaxOutput: uint32(max(0, p.MaxOutput))}
	for _, part := range p.Parts {
		m.Parts = append(m.Parts, &sfv1.ForwardPart{Id: part.ID, Tokens: uint32(max(0, part.Tokens))})
	}
	return m
}

func promptFromMessage(m *sfv1.ForwardPrompt) *placement.Prompt {
	if m == nil {
		return nil
	}
	p := &placement.Prompt{Tokens: int(m.GetTokens()), MaxOutput: int(m.GetMaxOutput())}
	for _, part := range m.GetParts() {
		p.Parts = append(p.Parts, placement.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	return p
}

func historyToMessage(h attempt.History) *sfv1.ForwardHistory {
	return &sfv1.ForwardHistory{Arrivals: uint32(h.Arrivals), Paid: uint32(h.Paid), Runs: uint32(h.Runs), Prefilled: h.Prefilled}
}

func historyFromMessage(m *sfv1.ForwardHistory) attempt.History {
	return attempt.History{Arrivals: int(m.GetArrivals()), Paid: int(m.GetPaid()), Runs: int(m.GetRuns()), Prefilled: m.GetPrefilled()}
}

// outcomes maps the outcomes of refusals to those in messages.
var outcomes = map[relay.Outcome]sfv1.ForwardRefusal_Outcome{
	relay.NotRun: sfv1.ForwardRefusal_OUTCOME_NOT_RUN, relay.Unknown: sfv1.ForwardRefusal_OUTCOME_UNSPECIFIED,
	relay.NoRoute: sfv1.ForwardRefusal_OUTCOME_NO_ROUTE, relay.Unauthenticated: sfv1.ForwardRefusal_OUTCOME_UNAUTHENTICATED,
	relay.OverQuota: sfv1.ForwardRefusal_OUTCOME_OVER_QUOTA, relay.TimedOut: sfv1.ForwardRefusal_OUTCOME_TIMED_OUT,
}

func refusalToMessage(r *relay.Refusal) *sfv1.ForwardRefusal {
	return &sfv1.ForwardRefusal{Outcome: outcomes[r.Outcome], Reason: r.Reason, RetryMs: toMilliseconds(r.RetryIn), Elsewhere: r.Elsewhere}
}

// refusalFromMessage decodes a refusal. An outcome that is not known means that the request may have run.
func refusalFromMessage(m *sfv1.ForwardRefusal) *relay.Refusal {
	r := &relay.Refusal{Outcome: relay.Unknown, Reason: m.GetReason(), RetryIn: milliseconds(m.GetRetryMs())}
	for outcome, value := range outcomes {
		if value == m.GetOutcome() {
			r.Outcome = outcome
		}
	}
	r.Elsewhere = m.GetElsewhere() && r.Outcome == relay.NotRun
	return r
}
