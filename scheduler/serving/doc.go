// Package serving decides, for one entry host and service, which request is
// sent to which executor and when, and which request is refused. It is pure:
// time is an argument, and all input and output is done by the caller.
//
// Invariants: every request gets exactly one final effect (Answer or Refuse);
// an executor never holds more attempts than this host's share of its slots;
// a non-idempotent request has at most one attempt that may have been sent; a
// refusal says not_run only if no attempt may have been sent.
//
// Order: requests that have waited very long come first, within their share of
// the slots; then urgent, normal and bulk; within a class the customer that has
// received the least service time for its weight. Slots reserved for a class
// are left free by the others.
//
// Size: service times are learned per customer and class. Work is short up to
// 4 times the shortest current median, medium up to 32 times, and long above;
// an attempt that runs beyond its size counts as the next one. Medium and long
// attempts together, and long ones alone, are bounded on all executors
// together: they leave free the demand of shorter work that is not less
// important, plus a margin set by the policy. Long attempts also leave one slot
// of each executor. The bounds do not apply to a size whose slots become free
// more often than short work would notice.
//
// Refusal: on arrival if the estimated wait plus the service time pass the
// deadline; when a queue is over its bound; and before sending if the rest of
// the time is too short.
package serving
