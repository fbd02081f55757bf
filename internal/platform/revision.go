package platform

// counterBits is the number of low bits of a revision that hold the write counter. At a thousand
// writes per second the counter overflows after 35 years.
const counterBits = 40

// MaxRestoreGeneration is the highest restore generation that a revision can hold.
const MaxRestoreGeneration = 1 << 22

// RevisionOf returns the revision of a write. A table restored from an older copy assigns counters
// a second time, and the writes lost in the restore must never compare as newer. So the restore
// generation, which rises with each restore, takes the high bits and the counter the low bits.
// A counter of 0 means that the row does not exist.
func RevisionOf(generation, counter int64) int64 { return generation<<counterBits | counter }

// RestoreGenerationOf returns the restore generation of a revision: how many times the table had
// been restored from an older copy.
func RestoreGenerationOf(revision int64) int64 { return revision >> counterBits }

// CounterOf returns the write counter of a revision.
func CounterOf(revision int64) int64 { return revision & (1<<counterBits - 1) }
