package protocol

// Role is what a process does.
type Role string

// The roles of a process.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
	RoleTool     Role = "tool"
)

// Epoch is drawn at random when a process starts. Whatever was learnt from one
// epoch (load, cache picture, attempts) is void in another.
type Epoch uint64

// Identity is what a process says of itself when a session opens.
type Identity struct {
	ID            string `cbor:"1,keyasint"`
	Role          Role   `cbor:"2,keyasint"`
	Epoch         Epoch  `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint,omitempty"`
	Group         string `cbor:"5,keyasint,omitempty"`
	Address       string `cbor:"6,keyasint,omitempty"`
	ConfigOffset  uint64 `cbor:"7,keyasint,omitempty"`
}

// Challenge opens a session: the accepting side's nonce and identity.
type Challenge struct {
	Nonce    []byte   `cbor:"1,keyasint"`
	Identity Identity `cbor:"2,keyasint"`
}

// Hello answers a Challenge. MAC is HMAC-SHA256 by the fleet key over the nonce
// and the identity.
type Hello struct {
	Identity Identity `cbor:"1,keyasint"`
	MAC      []byte   `cbor:"2,keyasint"`
}

// Welcome ends the opening; MAC proves that the accepting side has the key too.
type Welcome struct {
	MAC []byte `cbor:"1,keyasint"`
}
