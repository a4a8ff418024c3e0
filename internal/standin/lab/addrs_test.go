package lab

import "testing"

// TestAddressesAreChosenOnce guards against assigning one address to two
// processes of a fleet, or of two concurrent fleets. A process binds its address
// only some time after the assignment, so until then the port still looks free.
func TestAddressesAreChosenOnce(t *testing.T) {
	seen := make(map[string]bool)
	for range 1000 {
		addrs, err := freeAddrs(1)
		if err != nil {
			t.Fatal(err)
		}
		if seen[addrs[0]] {
			t.Fatalf("address %s was returned twice", addrs[0])
		}
		seen[addrs[0]] = true
	}
}
