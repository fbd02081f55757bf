package placement

// MemoryFilter drops engines whose KV memory has no room for the request, according to the report and the
// charged placements. The request would wait there for another stream to end. It is used as a preference:
// when no engine has room, the request queues.
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
