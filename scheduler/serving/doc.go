// Package serving schedules the requests of a service on one entry host: it
// decides when a request is sent to which executor, and which requests are
// refused. The package has no side effects: time is an argument, and the caller
// does all input and output.
//
// Terms: an executor is a backend server as seen by this host. A slot is the
// capacity of an executor for one concurrent attempt. A flow is the queue of one
// customer within one class. A tier is a range of service times: short, medium
// or long. The field Crest of structs.Policy weighs service at peak demand.
//
// Invariants: every request gets exactly one final effect (Answer or Refuse);
// an executor never holds more attempts than this host's share of its slots;
// a non-idempotent request has at most one attempt that may have been sent; a
// refusal says not_run only if no attempt may have been sent.
//
// Order: requests past the aging threshold of their class come first, within
// their share of the slots; then urgent, normal and bulk; within a class the
// customer that has received the least service time for its weight. Slots
// reserved for a class are not used by the others.
//
// Tiers: service times are measured per customer and class. Work is short up to
// 4 times the shortest current median, medium up to 32 times, and long above.
// An attempt that exceeds the service time of its tier moves to the next one.
// Medium and long attempts together, and long attempts alone, are limited over
// all executors. They leave headroom for the demand of shorter work of the same
// or a more important class, plus a margin set by the policy. Long attempts also
// leave one slot of each executor free. The limits do not apply to a tier whose
// slots become free so often that short work hardly waits for one.
//
// Refusal: on arrival if the estimated wait plus the service time exceed the
// time to the deadline; when a queue is over its bound; and before sending if
// the remaining time is shorter than the expected service time.
//
// Return: a refusal names a time to send the request again, unless it cannot be
// served within its deadline at any time. The times of a flow are spread at the rate
// at which its returns can be served beside new requests. A request that returns then
// is queued before those of its flow that first arrived later; it is recognised by its
// key, and other flows are not affected.
package serving
