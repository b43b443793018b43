package membership

// Role says what a member does in the system.
type Role string

// The roles that are members. A proxy is none: the agent beside it stands for it.
const (
	Agent      Role = "agent"
	Controller Role = "controller"
	Store      Role = "store"
)

// State is what is believed of a member. For one incarnation the state only grows.
type State uint8

// The states.
const (
	StateAlive   State = iota
	StateSuspect       // did not answer; it may still refute
	StateDead          // did not refute in time
	StateLeft          // said that it ends
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Member is one process as the others know it. The tags are short because several members share a datagram.
type Member struct {
	Name        string `json:"n"`           // machine and role, joined by a slash; unique
	ID          string `json:"d,omitempty"` // on its disk, or drawn at its start where it has none
	Role        Role   `json:"r,omitempty"`
	Zone        string `json:"z,omitempty"`
	Address     string `json:"a,omitempty"` // host:port, the same for datagrams and connections
	Control     string `json:"c,omitempty"` // host:port of the operator's API; controllers only
	Incarnation uint64 `json:"i"`           // time of day of its start in ms, raised by one with each refutation
	State       State  `json:"s,omitempty"`
}

// DeadOrLeft tells whether the member is taken for dead or has left.
func (m Member) DeadOrLeft() bool { return m.State == StateDead || m.State == StateLeft }

// sameProcess tells whether both describe one start of a process.
func (m Member) sameProcess(other Member) bool {
	return m.ID == other.ID && m.Address == other.Address && m.Control == other.Control &&
		m.Zone == other.Zone && m.Role == other.Role
}
