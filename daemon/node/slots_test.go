package node

import (
	"testing"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// Guards against a request to extend a lease that arrives as a request for
// additional slots, which the lender counts separately.
func TestSlotRequestKeepsItsFields(t *testing.T) {
	request := serving.RequestSlots{To: "host-b", Executor: "executor-1", Count: 3, Lease: "host-b/1/7", Waiting: structs.ClassNormal, Sequence: 1<<32 | 9}
	sent := slotRequestMessage(request)
	body, err := encodeMessage(&sent)
	if err != nil {
		t.Fatal(err)
	}
	var received slotMessage
	if err := decodeMessage("slot message", body, &received); err != nil {
		t.Fatal(err)
	}
	want := serving.SlotsRequested{From: "host-a", Executor: request.Executor, Count: request.Count, Lease: request.Lease, Waiting: request.Waiting, Sequence: request.Sequence, OwnRunning: 2}
	if got := received.requestEvent("host-a", 2); got != want {
		t.Fatalf("received %+v, want %+v", got, want)
	}
}
