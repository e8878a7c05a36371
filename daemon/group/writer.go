package group

import (
	"cranberrydrum.dev/coord/replica"
	"cranberrydrum.dev/daemon/panics"
)

// writer performs the writes of a replica on a goroutine of its own, so that a slow disk
// delays neither heartbeats nor votes. Writes that wait share nothing with the goroutine
// of the group but the storage, which only the writer uses while it runs.
type writer struct {
	writes  chan *replica.Write
	written chan writeResult
	done    chan struct{}
}

type writeResult struct {
	write *replica.Write
	err   error
}

// newWriter returns a writer whose channels never block, since a replica has no more
// than MaxWritesInProgress.
func newWriter() writer {
	return writer{
		writes:  make(chan *replica.Write, replica.MaxWritesInProgress),
		written: make(chan writeResult, replica.MaxWritesInProgress),
		done:    make(chan struct{}),
	}
}

func (w writer) start(write *replica.Write) { w.writes <- write }

// run performs the writes until one fails. The later ones fail with it: after a panic
// nothing is known about the storage.
func (w writer) run() {
	defer close(w.done)
	var failure error
	for write := range w.writes {
		if failure == nil {
			failure = runWrite(write)
		}
		w.written <- writeResult{write: write, err: failure}
	}
}

// runWrite performs a write and returns a panic in it as an error.
func runWrite(write *replica.Write) (err error) {
	if panicErr := panics.Catch("log_write", func() { err = write.Run() }); panicErr != nil {
		return panicErr
	}
	return err
}

// stop ends the writer after the writes in progress.
func (w writer) stop() {
	close(w.writes)
	<-w.done
}

func (g *Group) completeWrite(w writeResult) {
	g.handleOutput(g.cfg.Replica.CompleteWrite(g.cfg.Now(), w.write, w.err))
}
