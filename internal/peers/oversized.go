package peers

import (
	"connectrpc.com/connect"

	"sassafrasfield/internal/httptransport"
	"sassafrasfield/internal/readlimit"
)

// instancePeer names instances in the metrics and log lines of messages that are cut off.
const instancePeer = "instance"

// recordOversized counts and logs a message of another instance that was cut off because it was too large when it was
// decompressed, if the error is that of one.
func recordOversized(address string, err error) {
	if connect.CodeOf(err) == connect.CodeResourceExhausted && !connect.IsWireError(err) {
		httptransport.RecordCutOff(instancePeer, address, &readlimit.Exceeded{Part: readlimit.PartBody})
	}
}
