package node

import (
	"testing"

	"cranberrydrum.dev/scheduler/serving"
	"cranberrydrum.dev/scheduler/structs"
)

// TestAskKeepsItsFields guards against a question for more time on a lease that
// arrives as one for further slots, which the lender counts apart.
func TestAskKeepsItsFields(t *testing.T) {
	ask := serving.AskSlots{To: "host-b", Executor: "executor-1", Count: 3, Lease: "host-b/1/7", Waiting: structs.ClassNormal, Sequence: 1<<32 | 9}
	sent := askMessage(ask)
	body, err := encodeMessage(&sent)
	if err != nil {
		t.Fatal(err)
	}
	var received slotMessage
	if err := decodeMessage("slot message", body, &received); err != nil {
		t.Fatal(err)
	}
	want := serving.RequestSlots{From: "host-a", Executor: ask.Executor, Count: ask.Count, Lease: ask.Lease, Waiting: ask.Waiting, Sequence: ask.Sequence, OwnRunning: 2}
	if got := received.request("host-a", 2); got != want {
		t.Fatalf("received %+v, want %+v", got, want)
	}
}
