package instance

import (
	"slices"
	"strings"

	"sassafrasfield/internal/replica"
)

// applySharedRows applies the rows that all instances have to know at any time.
func (in *Instance) applySharedRows(rows []replica.Row) {
	for _, row := range rows {
		if row.Table != in.adapter.SharedTable {
			continue
		}
		apply := in.applyQuarantineRow
		if strings.HasPrefix(row.Key.Key, VersionsPrefix) {
			apply = in.applyVersionsRow
		}
		if err := apply(row); err != nil {
			in.log.Error("instance: invalid row", "key", row.Key.Key, "error", err)
		}
	}
}

// sharedRowsLoaded reports whether all these rows were applied.
func (in *Instance) sharedRowsLoaded() bool {
	return slices.Contains(in.follower.LoadedTables(), in.adapter.SharedTable)
}
