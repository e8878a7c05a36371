package reconfig

import "strings"

// IdentitySeparator separates the host from the number in a member identity. A host
// that lost its disk, and with it the record of its votes, returns with another number.
const IdentitySeparator = "#"

// HostOf returns the host part of a member identity.
func HostOf(member string) string {
	host, _, _ := strings.Cut(member, IdentitySeparator)
	return host
}

// isOtherIdentity reports whether two members are identities of the same host.
func isOtherIdentity(a, b string) bool { return a != b && HostOf(a) == HostOf(b) }
