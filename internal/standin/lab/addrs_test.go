package lab

import "testing"

// TestAddressesAreChosenOnce guards against two processes of a fleet, or of two
// fleets at the same time, with the same address: each binds it only some time
// after it was chosen.
func TestAddressesAreChosenOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		addrs, err := freeAddrs(1)
		if err != nil {
			t.Fatal(err)
		}
		if seen[addrs[0]] {
			t.Fatalf("%s was chosen twice", addrs[0])
		}
		seen[addrs[0]] = true
	}
}
