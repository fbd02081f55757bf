package scenario

import (
	"regexp"
	"strings"
	"testing"
)

// TestEachProofIsListed requires that each row of docs/PROOFS.md is in docs/proofs.list, and vice versa. Row
// E5 is the fuzz targets, which are found by name.
func TestEachProofIsListed(t *testing.T) {
	rows, listed := map[string]bool{"E5": true}, map[string]bool{}
	for _, match := range regexp.MustCompile(`(?m)^\| ([PFE]\d+) \|`).FindAllStringSubmatch(readAll(t, "docs/PROOFS.md"), -1) {
		rows[match[1]] = true
	}
	for _, line := range strings.Split(readAll(t, "docs/proofs.list"), "\n") {
		fields := strings.SplitN(line, "|", 3)
		if strings.HasPrefix(line, "#") || line == "" {
			continue
		}
		if len(fields) != 3 {
			t.Errorf("want a row, a package and tests: %q", line)
			continue
		}
		listed[strings.TrimSpace(fields[0])] = true
	}
	listed["E5"] = true
	for row := range rows {
		if !listed[row] {
			t.Errorf("row %s of docs/PROOFS.md is not in docs/proofs.list", row)
		}
	}
	for row := range listed {
		if !rows[row] {
			t.Errorf("row %s of docs/proofs.list is not in docs/PROOFS.md", row)
		}
	}
}
