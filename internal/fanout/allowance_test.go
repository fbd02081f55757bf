package fanout

import (
	"testing"
	"time"
)

// TestReportsUseShareOfLink checks that reports that would fill a link of 10 Mbit/s, 1.25 MB a
// second, use only a sixth of it.
func TestReportsUseShareOfLink(t *testing.T) {
	const link, datagram = 1_250_000, 1000
	a := NewAllowance(10, 0)
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		for range 3 {
			if a.Allows(0, now) {
				a.Spend(datagram)
				sent += datagram
			}
		}
	}
	if share := float64(sent) / 10 / link; share < 0.16 || share > 0.175 {
		t.Errorf("%g of the link", share)
	}
}

func TestExcessIsDeductedFromLaterReports(t *testing.T) {
	a := NewAllowance(10, 0)
	a.Spend(250_000) // the allowance of 1.2 s
	if a.Allows(0, 1000*time.Millisecond) || !a.Allows(0, 1200*time.Millisecond) {
		t.Errorf("%g bytes are available", a.available)
	}
}

// TestReportMayExceedAllowance sends reports of 50 kB on a link whose allowance is 21 kB each tenth of a
// second.
func TestReportMayExceedAllowance(t *testing.T) {
	const report = 50_000
	a := NewAllowance(10, 0)
	sent := 0
	for now := time.Duration(0); now < 10*time.Second; now += batchEvery {
		if a.Allows(0, now) {
			a.Spend(report)
			sent++
		}
	}
	if sent < 39 || sent > 43 {
		t.Errorf("%d reports of %d bytes in 10 s", sent, report)
	}
}

func TestUnknownBandwidthLimitsNothing(t *testing.T) {
	if a := NewAllowance(0, 0); !a.Allows(1<<30, 0) {
		t.Error("reports are limited")
	}
}
