package fuzz

import (
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"sassafrasfield/internal/config"
	"sassafrasfield/internal/idempotency"
	"sassafrasfield/internal/lease"
	"sassafrasfield/internal/order"
	"sassafrasfield/internal/plan"
	"sassafrasfield/internal/platform"
	"sassafrasfield/internal/service"
	"sassafrasfield/internal/versions"
)

// rowTable is a table in which each row has the same value.
type rowTable struct{ value []byte }

func (r rowTable) Get(_ context.Context, key string) (platform.Row, error) {
	return platform.Row{Key: key, Value: r.value, Revision: 1}, nil
}

func (r rowTable) List(_ context.Context, prefix string) ([]platform.Row, error) {
	return []platform.Row{{Key: prefix + "1", Value: r.value, Revision: 1}}, nil
}

func (rowTable) Commit(context.Context, platform.Txn) (int64, error) {
	return 0, platform.ErrConflict
}

func (rowTable) PutObject(context.Context, string, []byte) error { return platform.ErrUnavailable }

func (r rowTable) GetObject(context.Context, string) ([]byte, error) { return r.value, nil }

// FuzzLeaseRow has a lease machine read an arbitrary row. A read alone must not make it hold
// the lease.
func FuzzLeaseRow(f *testing.F) {
	f.Add([]byte(`{"holder":"other","epoch":3,"write_id":"w"}`))
	f.Add([]byte(`{"epoch":-9223372036854775808}`))
	f.Add([]byte(`{"holder":"me"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var row lease.Row
		if json.Unmarshal(data, &row) != nil {
			return
		}
		machine := lease.New("me", lease.Settings{Term: time.Second, RenewEvery: 300 * time.Millisecond, RetryEvery: 100 * time.Millisecond, Margin: 100 * time.Millisecond}, func() string { return "fresh" })
		machine.Tick(0)
		machine.OnRead(0, row, 1)
		if _, held := machine.Held(time.Millisecond); held {
			t.Errorf("the row %s made it hold the lease without a write", data)
		}
		machine.Tick(10 * time.Second)
	})
}

// FuzzDocumentRows decodes and encodes the rows of orders, plans and configurations.
func FuzzDocumentRows(f *testing.F) {
	f.Add([]byte(`{"id":"o","engine":"e","epoch":3,"want":{"model":"m","role":"mixed"},"state":"open"}`))
	f.Add([]byte(`{"id":"p","state":"confirmed","steps":[{"kind":"drain","engine":"e"}],"source":"bmFtZQ=="}`))
	f.Add((&config.Config{Version: 2, Engines: []config.Engine{{ID: "e", Pool: "p"}}, Pools: []config.Pool{{Name: "p"}}}).Encode())
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if row, err := order.Decode(data, 1); err == nil {
			row.Message()
			row.Encode()
		}
		doc, err := config.Decode(data)
		if err != nil {
			return
		}
		doc.Clone().Encode()
		if p, err := plan.Decode(data); err == nil {
			p.ProgressIn(doc)
			p.Encode()
		}
	})
}

// FuzzVersionRow reads the version log from arbitrary rows.
func FuzzVersionRow(f *testing.F) {
	f.Add([]byte(`{"version":1,"intent":1,"write_id":"w","document":{"version":1}}`))
	f.Add([]byte(`{"version":-5}`))
	f.Add([]byte(`{"version":1,"delta":"AAAA"}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		log := versions.Log{Table: rowTable{value: data}}
		_, _ = log.Get(ctx, 1)
		_, _ = log.Load(ctx, 1)
		_, _ = log.List(ctx, 3)
		_, _, _ = log.Newest(ctx)
	})
}

// FuzzClaimRow repeats a call with an idempotency key whose claim row is arbitrary.
// The call must not run: only a free row permits that, and commits of the claim fail.
func FuzzClaimRow(f *testing.F) {
	call := service.Call{Method: "POST", Path: "/bales/certificates", Body: []byte("{}")}
	sum := idempotency.Checksum(call)
	for _, seed := range []string{
		`{"state":"claimed","call":"` + sum + `"}`, `{"state":"unknown","call":"` + sum + `"}`,
		`{"state":"answered","call":"` + sum + `","answer":{"status":200}}`, `{"state":"answered","call":"` + sum + `"}`,
		`{"state":"answered","call":"` + sum + `","object":"o"}`, `{"state":"free","call":"` + sum + `"}`, `{}`, `null`,
	} {
		f.Add([]byte(seed))
	}
	rules := idempotency.Default()
	rules.ClaimTimeout = 20 * time.Millisecond
	log := slog.New(slog.DiscardHandler)
	f.Fuzz(func(t *testing.T, data []byte) {
		runner := idempotency.New(rowTable{value: data}, rules, "inst-1", log)
		_, _ = runner.Do(context.Background(), "claim/1", call, func(context.Context) (service.Answer, error) {
			t.Errorf("the call ran over the row %s", data)
			return service.Answer{}, nil
		})
	})
}
