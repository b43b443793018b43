package membership

// Role is what a member does in the system.
type Role string

// The roles of members. A proxy is not a member: the agent on its machine represents it.
const (
	Agent      Role = "agent"
	Controller Role = "controller"
	Store      Role = "store"
)

// State is what a node believes of a member. Within one incarnation it must only grow.
type State uint8

// The states.
const (
	StateAlive   State = iota
	StateSuspect       // did not answer a probe; it may still refute
	StateDead          // did not refute the suspicion in time
	StateLeft          // announced its end
)

// stateNames has the names that log lines and the operators' API show.
var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name, or "unknown".
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Member is one process as the others know it. It travels in datagrams; the tags are short because several members share
// one.
type Member struct {
	Name        string `json:"n"`           // machine and role, joined by a slash; unique in the system
	ID          string `json:"d,omitempty"` // from its disk, or drawn at its start where it has none
	Role        Role   `json:"r,omitempty"`
	Zone        string `json:"z,omitempty"`
	Address     string `json:"a,omitempty"` // host:port, the same for datagrams and connections
	Control     string `json:"c,omitempty"` // host:port of the operator's API; controllers only
	Incarnation uint64 `json:"i"`           // time of day of its start in ms, raised by one with each refutation
	State       State  `json:"s,omitempty"`
}

// DeadOrLeft reports whether the member is dead or has left.
func (m Member) DeadOrLeft() bool { return m.State == StateDead || m.State == StateLeft }

// sameProcess reports whether both describe one start of a process.
func (m Member) sameProcess(other Member) bool {
	return m.ID == other.ID && m.Address == other.Address && m.Control == other.Control &&
		m.Zone == other.Zone && m.Role == other.Role
}
