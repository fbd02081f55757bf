package platform

// counterBits are the bits of a revision that its counter takes: a thousand writes a second fill
// them in 35 years.
const counterBits = 40

// MaxRestoreGeneration is the highest era that a revision can have.
const MaxRestoreGeneration = 1 << 22

// RevisionOf is the revision of a write. A table that comes back from an older copy gives counters
// out again, and what it lost never counts again: so the era, which rises with each return, orders
// before the counter. A counter of 0 stands for a row that is not there.
func RevisionOf(era, counter int64) int64 { return era<<counterBits | counter }

// RestoreGenerationOf is the era of a revision: how often the table had come back from an older copy.
func RestoreGenerationOf(revision int64) int64 { return revision >> counterBits }

// CounterOf is a revision without its era.
func CounterOf(revision int64) int64 { return revision & (1<<counterBits - 1) }
