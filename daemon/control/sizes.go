package control

import (
	"strconv"

	"cranberrydrum.dev/scheduler/fleet"
	"cranberrydrum.dev/scheduler/structs"
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
	size := entryOverheadBytes + len(r.Executor.ID) + len(r.Service) + len(r.Address)
	for _, label := range r.Labels {
		size += stringOverheadBytes + len(label)
	}
	return size
}

func tooLarge(size int) *structs.Refusal {
	return structs.RefuseNotRun(structs.CodeTooLarge, strconv.Itoa(size)+" bytes do not fit into an entry of the log")
}
