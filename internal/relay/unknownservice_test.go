package relay

import (
	"log/slog"
	"testing"

	"sassafrasfield/internal/streamversions"
)

// TestInstanceWithoutConfigurationDoesNotVouchForVersions guards against streams that go on at another version because an
// instance that has not read the configuration, and so does not know the service it is asked about, says it knows all.
func TestInstanceWithoutConfigurationDoesNotVouchForVersions(t *testing.T) {
	r := New(DefaultSettings(), &fakeSender{}, slog.New(slog.DiscardHandler))
	r.SetVersionTable(func() streamversions.Table { return streamversions.Table{Loaded: true} })
	r.ApplyVersionHistory(streamversions.History{Service: "llm", Versions: []string{"v1", "v2"}, Revision: 1})
	if answer := r.StreamAnswer(streamversions.IDOf("r1"), serviceHash("llm")); answer.Complete && !answer.SeveralVersions {
		t.Errorf("%+v", answer)
	}
}
