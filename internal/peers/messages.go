package peers

import (
	"strconv"
	"time"

	"sassafrasfield/internal/estimate"
	"sassafrasfield/internal/fanout"
	sfv1 "sassafrasfield/internal/gen/sf/v1"
	"sassafrasfield/internal/quarantine"
	"sassafrasfield/internal/quota"
	"sassafrasfield/internal/replica"
	"sassafrasfield/internal/upstreamstate"
	"sassafrasfield/internal/usage"
)

// utilizationScale is the number of units in a utilization of 1 in a report.
const utilizationScale = 1000

// sourceOf returns the source name of an instance's reports.
func sourceOf(id fanout.ID) string {
	return upstreamstate.InstanceSourcePrefix + strconv.FormatUint(uint64(id), 16)
}

func ownToMessage(o fanout.InstanceReport) *sfv1.InstanceReport {
	return &sfv1.InstanceReport{
		Source: uint64(o.Source), Boot: o.Boot, Sequence: o.Sequence, Reading: o.Reading, Report: reportToMessage(o.Report),
	}
}

func ownFromMessage(m *sfv1.InstanceReport) fanout.InstanceReport {
	report := reportFromMessage(m.GetReport())
	report.Boot = m.GetBoot()
	return fanout.InstanceReport{
		Source: fanout.ID(m.GetSource()), Boot: m.GetBoot(), Sequence: m.GetSequence(), Reading: m.GetReading(), Report: report,
	}
}

func reportToMessage(report upstreamstate.Report) *sfv1.EngineReport {
	m := &sfv1.EngineReport{Whole: report.Complete, Gone: report.Unreachable, Unreached: report.Unreached}
	for _, load := range report.Loads {
		m.Loads = append(m.Loads, &sfv1.EngineLoad{
			Engine: load.Engine, PrefillMs: uint32(load.Backlog.Milliseconds()), Requests: uint32(load.Requests),
			Use: uint32(load.Utilization * utilizationScale), YieldingMs: uint32(load.DeferredBacklog.Milliseconds()),
			Inflow: uint32(load.Inflow),
		})
	}
	for _, p := range report.Placed {
		m.Placed = append(m.Placed, p.Engine, p.Part)
	}
	for _, a := range report.Unavailable {
		m.Away = append(m.Away, &sfv1.AwayUpstream{Upstream: a.Upstream, ForMs: uint32(a.For.Milliseconds())})
	}
	for service, sends := range report.RetryOverflow {
		m.Spilled = append(m.Spilled, &sfv1.Spilled{Service: service, Sends: float32(sends)})
	}
	for _, e := range report.Evidence.Crashes {
		m.Ends = append(m.Ends, &sfv1.UpstreamEnd{Content: uint64(e.Subject), Upstream: e.Upstream, Times: uint32(e.Times)})
	}
	for _, e := range report.Evidence.Served {
		m.Served = append(m.Served, &sfv1.ServedSubject{Subject: uint64(e.Subject), SinceCrash: e.SinceCrash, Notice: e.Notice})
	}
	for _, c := range report.Usage {
		m.Usage = append(m.Usage, &sfv1.UsageCount{Window: int64(c.Window), Organisation: c.Organisation, Requests: c.Requests})
	}
	m.Limits = limitsToMessages(report.Limits)
	for service, l := range report.Times {
		m.Times = append(m.Times, &sfv1.EngineTimes{
			Service: service, Speed: float32(l.PromptTimeRatio), Overhead: float32(l.Overhead), Prompts: uint32(l.PromptCount),
			Step: float32(l.Step), PerRequest: float32(l.StepPerRequest), Streams: uint32(l.StreamCount),
		})
	}
	return m
}

func reportFromMessage(m *sfv1.EngineReport) upstreamstate.Report {
	report := upstreamstate.Report{Complete: m.GetWhole(), Unreachable: m.GetGone(), Unreached: m.GetUnreached()}
	for _, l := range m.GetLoads() {
		report.Loads = append(report.Loads, upstreamstate.EngineLoad{
			Engine: l.GetEngine(), Backlog: time.Duration(l.GetPrefillMs()) * time.Millisecond, Requests: int(l.GetRequests()),
			Utilization: float64(l.GetUse()) / utilizationScale, DeferredBacklog: time.Duration(l.GetYieldingMs()) * time.Millisecond,
			Inflow: float64(l.GetInflow()),
		})
	}
	placed := m.GetPlaced()
	for i := 0; i+1 < len(placed); i += 2 {
		report.Placed = append(report.Placed, upstreamstate.PlacedPart{Engine: placed[i], Part: placed[i+1]})
	}
	for _, spilled := range m.GetSpilled() {
		if report.RetryOverflow == nil {
			report.RetryOverflow = map[uint32]float64{}
		}
		report.RetryOverflow[spilled.GetService()] = float64(spilled.GetSends())
	}
	for _, a := range m.GetAway() {
		report.Unavailable = append(report.Unavailable, upstreamstate.UnavailableUpstream{Upstream: a.GetUpstream(), For: time.Duration(a.GetForMs()) * time.Millisecond})
	}
	for _, e := range m.GetEnds() {
		report.Evidence.Crashes = append(report.Evidence.Crashes, quarantine.Crash{Subject: quarantine.Subject(e.GetContent()), Upstream: e.GetUpstream(), Times: int(e.GetTimes())})
	}
	for _, e := range m.GetServed() {
		report.Evidence.Served = append(report.Evidence.Served, quarantine.Served{Subject: quarantine.Subject(e.GetSubject()), SinceCrash: e.GetSinceCrash(), Notice: e.GetNotice()})
	}
	for _, c := range m.GetUsage() {
		report.Usage = append(report.Usage, usage.Count{
			Window: usage.Window(c.GetWindow()), Organisation: c.GetOrganisation(), Requests: c.GetRequests(),
		})
	}
	report.Limits = limitsFromMessages(m.GetLimits())
	for _, t := range m.GetTimes() {
		if report.Times == nil {
			report.Times = map[uint32]estimate.Snapshot{}
		}
		report.Times[t.GetService()] = estimate.Snapshot{
			PromptTimeRatio: float64(t.GetSpeed()), Overhead: time.Duration(t.GetOverhead()), PromptCount: int(t.GetPrompts()),
			Step: time.Duration(t.GetStep()), StepPerRequest: time.Duration(t.GetPerRequest()), StreamCount: int(t.GetStreams()),
		}
	}
	return report
}

func limitsToMessages(limits []quota.UpstreamLimit) []*sfv1.UpstreamLimit {
	var messages []*sfv1.UpstreamLimit
	for _, limit := range limits {
		messages = append(messages, limitToMessage(limit))
	}
	return messages
}

func limitsFromMessages(messages []*sfv1.UpstreamLimit) []quota.UpstreamLimit {
	var limits []quota.UpstreamLimit
	for _, m := range messages {
		limits = append(limits, limitFromMessage(m))
	}
	return limits
}

func limitToMessage(limit quota.UpstreamLimit) *sfv1.UpstreamLimit {
	return &sfv1.UpstreamLimit{Upstream: limit.Upstream, Rate: limit.Rate, Leaving: limit.Draining, AgeMs: uint32(limit.Age.Milliseconds())}
}

func limitFromMessage(m *sfv1.UpstreamLimit) quota.UpstreamLimit {
	return quota.UpstreamLimit{Upstream: m.GetUpstream(), Rate: m.GetRate(), Draining: m.GetLeaving(), Age: time.Duration(m.GetAgeMs()) * time.Millisecond}
}

func toMessage(p Peer) *sfv1.ReplicaPeer {
	return &sfv1.ReplicaPeer{Name: p.Name, Address: p.Address, Zone: p.Zone, LinkMbps: p.LinkMbps}
}

func fromMessage(p *sfv1.ReplicaPeer) Peer {
	return Peer{Name: p.GetName(), Address: p.GetAddress(), Zone: p.GetZone(), LinkMbps: p.GetLinkMbps()}
}

func peersToMessages(list []Peer) []*sfv1.ReplicaPeer {
	messages := make([]*sfv1.ReplicaPeer, len(list))
	for i, p := range list {
		messages[i] = toMessage(p)
	}
	return messages
}

// rowsToMessages encodes rows, and the bookmarks among them.
func rowsToMessages(rows []replica.Row) (messages []*sfv1.ReplicaRow, bookmarks []*sfv1.ReplicaBookmark) {
	for _, row := range rows {
		if b := row.Bookmark; b != nil {
			bookmarks = append(bookmarks, &sfv1.ReplicaBookmark{
				Table: row.Table, Revision: row.Revision, Complete: b.Complete, GapAfter: b.Gap.After, GapUntil: b.Gap.Until, Digest: b.Digest,
			})
			continue
		}
		messages = append(messages, &sfv1.ReplicaRow{
			Table: row.Table, Key: row.Key.Key, Value: row.Value, Revision: row.Revision, Deleted: row.Deleted, Lost: row.MissingAfterRestore,
		})
	}
	return messages, bookmarks
}

func rowsFromMessages(messages []*sfv1.ReplicaRow, bookmarks []*sfv1.ReplicaBookmark) []replica.Row {
	rows := make([]replica.Row, 0, len(messages)+len(bookmarks))
	for _, m := range messages {
		rows = append(rows, replica.Row{
			Key:   replica.Key{Table: m.GetTable(), Key: m.GetKey()},
			Value: m.GetValue(), Revision: m.GetRevision(), Deleted: m.GetDeleted(), MissingAfterRestore: m.GetLost(),
		})
	}
	for _, m := range bookmarks {
		rows = append(rows, replica.Row{
			Key: replica.Key{Table: m.GetTable()}, Revision: m.GetRevision(),
			Bookmark: &replica.Bookmark{
				Complete: m.GetComplete(), Gap: replica.Gap{After: m.GetGapAfter(), Until: m.GetGapUntil()}, Digest: m.GetDigest(),
			},
		})
	}
	return rows
}
