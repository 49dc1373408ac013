package protocol

// Role is the role of a process.
type Role string

const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
	RoleTool     Role = "tool"
)

// Epoch identifies one run of a process. It is drawn at random when the process
// starts. What is known of one epoch (load, cache view, attempts) is invalid for
// another.
type Epoch uint64

// Identity describes a process to its peer when a session opens.
type Identity struct {
	ID            string `cbor:"1,keyasint"`
	Role          Role   `cbor:"2,keyasint"`
	Epoch         Epoch  `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	Group         string `cbor:"5,keyasint,omitempty"`
	Address       string `cbor:"6,keyasint,omitempty"`
	ConfigOffset  uint64 `cbor:"7,keyasint,omitempty"`
}

// Challenge opens a session with the accepting side's nonce and identity.
type Challenge struct {
	Nonce    []byte   `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
}

// Hello answers a Challenge. MAC is the HMAC-SHA256 with the fleet key over the
// nonce and the identity.
type Hello struct {
	Identity Identity `cbor:"1,keyasint"`
	MAC      []byte   `cbor:"2,keyasint"`
}

// Welcome completes the opening. MAC proves that the accepting side has the fleet
// key, too.
type Welcome struct {
	MAC []byte `cbor:"1,keyasint"`
}
