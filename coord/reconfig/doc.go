// Package reconfig decides the membership changes of a replicated log whose hosts come
// and go without an operator: a host that lost its disk, one that is gone for good, and
// one that is about to stop.
//
// Invariants:
//   - A voter is removed only after another member has been promoted in its place, so
//     that the number of hosts that store the committed entries never decreases.
//   - A member is promoted only once it has nearly the whole log.
//   - The removal of a member is final only when it is committed. Until then the member
//     keeps its log (IsRemovalCommitted).
package reconfig
