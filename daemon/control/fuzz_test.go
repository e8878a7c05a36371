package control

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"cranberrydrum.dev/coord/codec"
	"cranberrydrum.dev/coord/reconfig"
	"cranberrydrum.dev/scheduler/admission"
	"cranberrydrum.dev/scheduler/workload"
)

// FuzzCallBodies decodes the bodies of calls and replies between hosts. It guards
// against a malformed one that ends the process of the receiver.
func FuzzCallBodies(f *testing.F) {
	for _, value := range []any{
		&admission.Request{Operation: admission.OpSubmit, Host: "h", Path: "/a", Spec: &workload.Spec{Steps: []workload.Step{{Count: 1}}}},
		&admission.Request{Operation: 9}, &admission.Reply{Phase: 9}, &Hello{Leader: "10.0.0.1", Hosts: []string{"10.0.0.2"}},
		&JoinRequest{Member: "10.0.0.1#0"}, &JoinRequest{Member: "#"}, &reportMessage{},
	} {
		data, err := msgpack.Marshal(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var request admission.Request
		if codec.Unmarshal(data, &request) == nil {
			_ = request.Operation.String()
			if request.Spec != nil {
				_ = request.Spec.Validate()
			}
		}
		var reply admission.Reply
		if codec.Unmarshal(data, &reply) == nil {
			_ = reply.Phase.String()
		}
		var join JoinRequest
		if codec.Unmarshal(data, &join) == nil {
			_ = reconfig.HostOf(join.Member)
		}
		var hello Hello
		_ = codec.Unmarshal(data, &hello)
		var report reportMessage
		_ = codec.Unmarshal(data, &report)
	})
}
