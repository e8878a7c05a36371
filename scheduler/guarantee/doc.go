// Package guarantee checks that the guaranteed shapes of all customers fit a
// failure domain, and decides which running jobs are inside a guarantee, such that
// the unused part of every guarantee can be reclaimed at any time.
//
// A shape consists of slots: whole racks, whole workers and buddy cells. The cells
// are the binary digits of the accelerators part of the shape: 5 accelerators are a
// cell of 4 and a cell of 1. Each slot belongs to one customer. A slot is bound to a
// physical block (a rack, a worker or an aligned cell of a worker) only while a job
// uses it; until then it is open.
//
// A job counts as inside its customer's guarantee if the following procedure
// accepts it, which is a function of the rules, the workers and the running jobs
// only. Running jobs are processed in the order (Order, Started, ID). A job claims
// blocks for its accelerators. Accelerators in a block that an earlier job of the
// same customer has bound are covered. For the remaining ones, open slots of the
// customer are bound to the blocks that contain them, the smallest slots first. The
// claim is accepted if every accelerator is covered, no block overlaps a block of
// another customer, and the open slots of all customers still fit together into the
// unbound accelerators of healthy workers.
//
// Three properties follow:
//   - A later start never puts an earlier job outside its guarantee.
//   - Jobs outside their guarantee never influence the result. They can therefore be
//     preempted for any open slot, and all open slots can be reclaimed at the same
//     time, wherever jobs are placed.
//   - A finished job only releases blocks.
//
// A job that is not accepted may be preempted for a guaranteed claim of another
// customer. For one of its own customer it is preempted only if its priority is
// lower, so a customer can be hindered only by its own jobs.
//
// A slot guarantees gangs up to its own size. Two worker slots may be bound in
// different racks, so a gang of two workers is guaranteed only by a rack slot.
//
// When lost or quarantined workers leave too few accelerators, slots are dropped
// until the remaining ones fit. A rack slot is replaced by worker slots, which are
// dropped first; then other worker slots and cell slots are dropped, each from the
// customer that has most of them.
package guarantee
