package placement

// MemoryFilter drops engines whose KV memory has no room for the request, by
// the report and the charges: there it would wait for another stream's end. It
// is a preference: with no room anywhere the request queues.
type MemoryFilter struct {
	View LoadView
}

// Keep implements Filter.
func (f MemoryFilter) Keep(req *Request, c Candidate) bool {
	total := c.Load.Report.KVBlocksTotal
	if total == 0 {
		return true
	}
	return c.Load.Report.KVBlocksFree-f.View(req, c).Blocks >= req.Blocks
}
