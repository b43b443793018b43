package membership

// Role is what a member does in the system.
type Role string

// The roles of members. A proxy is not a member: the agent on its machine represents it.
const (
	Agent      Role = "agent"
	Controller Role = "controller"
	Store      Role = "store"
)

// State is a member's state as a node knows it. Within one incarnation it must only increase.
type State uint8

// The states.
const (
	StateAlive   State = iota
	StateSuspect       // did not answer a probe; may still refute the suspicion
	StateDead          // did not refute the suspicion in time
	StateLeft          // announced that it leaves
)

// stateNames lists the names that log lines and the operators' API show.
var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name, or "unknown".
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Member is the record of one process. The JSON keys are short because one datagram carries several records.
type Member struct {
	Name        string `json:"n"`           // machine/role; unique in the system
	ID          string `json:"d,omitempty"` // stored on the process' disk, or random at each start if it has no disk
	Role        Role   `json:"r,omitempty"`
	Zone        string `json:"z,omitempty"`
	Address     string `json:"a,omitempty"` // host:port for both datagrams and connections
	Control     string `json:"c,omitempty"` // host:port of the operators' API; controllers only
	Incarnation uint64 `json:"i"`           // Unix time of the start in ms, incremented with each refutation
	State       State  `json:"s,omitempty"`
}

// DeadOrLeft reports whether the member is dead or has left.
func (m Member) DeadOrLeft() bool { return m.State == StateDead || m.State == StateLeft }

// CountRunning returns the number of members of a role that are neither dead nor have left.
func CountRunning(members []Member, role Role) int {
	count := 0
	for _, m := range members {
		if m.Role == role && !m.DeadOrLeft() {
			count++
		}
	}
	return count
}

// sameProcess reports whether both records describe the same run of a process.
func (m Member) sameProcess(other Member) bool {
	return m.ID == other.ID && m.Address == other.Address && m.Control == other.Control &&
		m.Zone == other.Zone && m.Role == other.Role
}
