package fleet

// Offsets in Record, Page and Store are positions: the store's offset, and above it the
// store's era. A store that comes back from an older copy begins a new era, in which it gives
// offsets out again; positions grow all the same. So do fencing numbers made of them.

// offsetBits are the low bits of a position, which hold the offset: a thousand records a second
// for thirty years. Eras above leave positions whole in a double.
const offsetBits = 40

// MaxEra is the last era that positions can tell.
const MaxEra = 1<<(53-offsetBits) - 1

// Position is the position of an offset in an era.
func Position(era, offset uint64) uint64 { return era<<offsetBits | offset }

// Era is the era of a position.
func Era(position uint64) uint64 { return position >> offsetBits }

// Offset is the store's own offset of a position.
func Offset(position uint64) uint64 { return position & (1<<offsetBits - 1) }
