package control

import (
	"strconv"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/structs"
	"cranberrydrum.dev/scheduler/workload"
)

const (
	// stringOverheadBytes is the most that the encoding adds to a string.
	stringOverheadBytes = 5
	// entryOverheadBytes is more than the names and numbers of an encoded entry of the
	// executor directory.
	entryOverheadBytes = 256
)

// entryBytes is an upper bound of the encoded size of the directory entry of a report.
func entryBytes(r *fleet.Report) int {
	size := entryOverheadBytes + len(r.Executor.ID) + len(r.Service) + len(r.Address) + len(r.Domain)
	for _, label := range r.Labels {
		size += stringOverheadBytes + len(label)
	}
	return size
}

func tooLarge(size int) *structs.Refusal {
	return structs.RefuseNotRun(structs.CodeTooLarge, strconv.Itoa(size)+" bytes do not fit into an entry of the log")
}

// appendEncoded appends a command of the owner in as many parts as the size of an entry
// of the log requires. The log would refuse a larger command each time that it is
// proposed, and with it all later ones.
func (o *owner) appendEncoded(encoded [][]byte, c *workload.Command) [][]byte {
	data, err := c.Encode()
	if err != nil {
		o.log.Error(err, "failed to encode a command")
		return encoded
	}
	if len(data) <= maxEncodedBytes {
		return append(encoded, data)
	}
	if first, second, ok := c.Split(); ok {
		return o.appendEncoded(o.appendEncoded(encoded, first), second)
	}
	if len(c.Ends) == 1 && c.Ends[0].Checkpoint != "" {
		end := c.Ends[0]
		o.log.Info("a checkpoint is too large for the log; the task resumes from an earlier one", "job", end.Task.Job,
			"step", end.Task.Step, "task", end.Task.Index, "executor", end.Executor.ID, "bytes", len(end.Checkpoint))
		end.Checkpoint = ""
		return o.appendEncoded(encoded, &workload.Command{At: c.At, Ends: []workload.End{end}})
	}
	o.log.Error(tooLarge(len(data)), "dropped a command")
	return encoded
}
