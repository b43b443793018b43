package command

import "testing"

func TestMaxClients_LeavesDescriptorsForEndpoints(t *testing.T) {
	cases := map[int64]int{0: 0, 100: 64, 200: 64, 4100: 2340}
	for openFiles, want := range cases {
		if got := maxClients(openFiles); got != want {
			t.Errorf("%d descriptors: %d clients, want %d", openFiles, got, want)
		}
	}
}
