// Package registry keeps announcements that hosts disseminate among each
// other, such as those of backend servers. It is soft state: an announcement
// that is not renewed within its time to live expires on each host.
//
// # Which announcement is newer
//
// Announcements of one id are ordered by incarnation, then state (up,
// draining, left), then sequence. The state comes before the sequence, so that
// no up announcement of an incarnation that is draining or has left can take
// effect again, whichever host it arrives through and however late. A server
// that returns uses a new incarnation. Within one state the sequence decides.
// The order is total, so registries that have seen the same announcements
// agree. An announcer must not use one version for two contents.
//
// # Time
//
// Clocks differ between hosts, so an announcement travels with its age. The
// receiver counts on from there. The time in transit is not known and makes a
// copy look younger than it is. Of two copies with equal versions the registry
// therefore keeps the older age, and an id that expired or left stays as a
// tombstone that refuses its version and all earlier ones. A copy passes each
// host once, so Config.TombstoneRetention must be longer than MaxTTL plus the
// number of hosts times the longest delay of a message. A host that reads
// messages from before a long pause can take an old announcement for at most
// its time to live; transports must close connections that were silent.
//
// # Cost
//
// Merge and Expire take logarithmic time for each changed entry, Changes takes
// time for the changed entries only. Digest and Delta read all entries.
package registry
