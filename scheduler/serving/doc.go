// Package serving decides, for one entry host and service, which request is
// sent to which executor and when, and which request is refused. It is pure:
// time is an argument, and all input and output is done by the caller.
//
// Invariants: every request gets exactly one final effect (Answer or Refuse);
// an executor never holds more attempts than this host's share of its slots;
// a non-idempotent request has at most one attempt that may have been sent.
package serving
