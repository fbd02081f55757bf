package connlimit

import "testing"

// TestDefaultBoundsLeaveRoomForOrdinaryClients guards against defaults that clients within their limits meet: the busiest site has
// 742 clients before nine instances of 284 MiB, which may all come to one.
func TestDefaultBoundsLeaveRoomForOrdinaryClients(t *testing.T) {
	const mb = 1 << 20
	for name, c := range map[string]struct {
		resources Resources
		want      Bounds
	}{
		"144 MiB":             {Resources{144 * mb, 2875}, Bounds{691, 30198988, 30198988}},
		"284 MiB":             {Resources{284 * mb, 3900}, Bounds{1363, 59559116, 59559116}},
		"few descriptors":     {Resources{284 * mb, 1000}, Bounds{400, 59559116, 59559116}},
		"hardly any":          {Resources{1 * mb, 10}, Bounds{16, 209715, 209715}},
		"memory not bounded":  {Resources{0, 1000}, Bounds{400, 0, 0}},
		"descriptors of 1024": {Resources{512 * mb, 1024}, Bounds{409, 107374182, 107374182}},
	} {
		if got := Default().Bounds(c.resources); got != c.want {
			t.Errorf("%s: %+v, want %+v", name, got, c.want)
		}
	}
	if got := (Settings{Max: 7}).Bounds(Resources{144 * mb, 2875}); got.Conns != 7 {
		t.Errorf("%d connections, 7 are set", got.Conns)
	}
}
