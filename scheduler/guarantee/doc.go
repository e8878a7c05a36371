// Package guarantee checks that the guaranteed shapes of all customers fit a
// failure domain and can be reclaimed at any time.
//
// A shape is a number of slots: whole racks, whole workers and buddy cells (the
// binary digits of the accelerators part). Each slot is promised to one
// customer. A slot is bound to a physical block (a rack, a worker or an aligned
// cell of a worker) only while a job uses it; the other slots stay open.
//
// A job counts as inside its customer's guarantee if it is accepted by the
// following procedure, which is a function of the rules, the workers and the
// running jobs only. Running jobs are considered by (Order, Started, ID). A job
// claims blocks for its accelerators: accelerators in a block that an earlier
// job of the same customer has bound are covered; for the rest, open slots of
// the customer are bound to the blocks that contain them, the smallest slots
// first. The claim is accepted if every accelerator is covered, no block
// overlaps a block of another customer, and the open slots of all customers
// still fit together into the unbound accelerators of healthy workers.
//
// Three properties follow. A later start never makes an earlier job leave its
// guarantee. Jobs outside their guarantee never influence the result, so they
// can be preempted for any open slot, and therefore all open slots can be
// reclaimed at the same time whatever placement does. A finished job only
// releases blocks. Jobs that are not accepted may be preempted for a guaranteed
// claim of another customer; for one of their own customer only if they are
// less important, so a customer can only get in the way of itself.
//
// A slot guarantees gangs up to its own size. Two worker slots may be bound in
// different racks, so a gang of two workers is guaranteed only by a rack slot.
//
// When lost or quarantined workers leave too little room, slots are reduced
// until the rest fits: a rack becomes workers, which are dropped first, then other
// workers and cells, each from the customer that has most of them.
package guarantee
