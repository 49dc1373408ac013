// Package strictcbor makes decoders of CBOR that comes from elsewhere: other
// processes and the log. They refuse what no encoder of ours writes (duplicate map
// keys, indefinite lengths, tags) and bound what one input can make them build.
package strictcbor

import "github.com/fxamacker/cbor/v2"

// Bounds limit one input; a zero field takes the library's own bound.
type Bounds struct {
	ArrayElements int
	MapPairs      int
	NestedLevels  int
}

// Decoder returns a decoder with these bounds. It panics on bounds that the
// library doesn't take, so it is for package variables with constant bounds.
func Decoder(b Bounds) cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: b.ArrayElements,
		MaxMapPairs:      b.MapPairs,
		MaxNestedLevels:  b.NestedLevels,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
