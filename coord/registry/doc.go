// Package registry stores announcements, such as those of backend servers, that
// hosts replicate to each other by gossip. It is soft state: an announcement
// that is not renewed within its time to live expires on each host.
//
// # Order of announcements
//
// Announcements of one id are ordered by incarnation, then state (up,
// draining, left), then sequence. The state comes before the sequence, so that
// an up announcement cannot take effect once its incarnation is draining or has
// left, whichever host it arrives from and however late. A server that returns
// uses a new incarnation. The order is total, so registries that have received
// the same announcements agree. An announcer must not use the same version for
// two different contents.
//
// # Time
//
// Clocks differ between hosts, so an announcement is sent with its age, and the
// receiver adds its own elapsed time. The time in transit is not known, so the
// age of a copy can be too small. For this reason the registry keeps the
// greater age of two copies with equal versions, and an id that expired or left
// stays as a tombstone, which makes the registry ignore that version and all
// earlier ones. A copy passes each host once, so Config.TombstoneRetention must
// be longer than MaxTTL plus the number of hosts times the longest delay of a
// message. A host that resumes after a long pause reads messages that have waited
// for it; its caller must add that time to their age, or an old announcement
// counts for up to its time to live again.
//
// # Cost
//
// Merge and Expire take logarithmic time for each changed entry. Changes takes
// time proportional to the number of changed entries. Digest and Delta read all
// entries.
package registry
