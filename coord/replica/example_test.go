package replica_test

import (
	"fmt"
	"time"

	"cranberrydrum.dev/coord/raft"
	"cranberrydrum.dev/coord/replica"
)

// counter is a state machine that counts commands.
type counter struct{ n byte }

func (c *counter) Apply(_, _ uint64, _ []byte) []byte {
	c.n++
	return []byte{c.n}
}

func (c *counter) Snapshot() ([]byte, error) { return []byte{c.n}, nil }

func (c *counter) Restore(data []byte) error {
	c.n = data[0]
	return nil
}

// The group of this example has one host. The caller provides the clock. With
// more hosts, it would also send the messages of each Output to the other
// members.
func Example() {
	cfg := replica.Config{
		Raft:      raft.Config{ID: "a", Group: "counter"},
		Bootstrap: raft.Membership{Voters: []string{"a"}},
	}
	r, err := replica.Open(cfg, replica.NewMemoryStorage(), &counter{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0)
	for r.Status().Role != raft.RoleLeader {
		now += 100 * time.Millisecond
		if _, err := r.Tick(now); err != nil {
			fmt.Println(err)
			return
		}
	}
	id, out, err := r.Propose(now, []byte("add"))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, applied := range out.Applied {
		if applied.Index == id.Index && applied.Term == id.Term {
			fmt.Println("count:", applied.Result[0])
		}
	}
	// Output: count: 1
}
