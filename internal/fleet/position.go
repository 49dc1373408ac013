package fleet

// Offsets in Record, Page and Store are positions: the low bits hold the store's offset, the
// bits above the store's era. A store that is restored from an older copy begins a new era, in
// which it assigns offsets again. Positions, and fencing numbers made of them, still grow.

// offsetBits are the low bits of a position, which hold the offset: a thousand records a second
// for thirty years. The bits above hold the era, so few that positions are exact in a
// double.
const offsetBits = 40

// MaxEra is the highest era that a position can hold.
const MaxEra = 1<<(53-offsetBits) - 1

// Position returns the position of an offset in an era.
func Position(era, offset uint64) uint64 { return era<<offsetBits | offset }

// Era returns the era of a position.
func Era(position uint64) uint64 { return position >> offsetBits }

// Offset returns the store's own offset of a position.
func Offset(position uint64) uint64 { return position & (1<<offsetBits - 1) }
