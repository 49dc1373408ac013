// Package strictcbor provides decoders of untrusted CBOR from other processes and the
// log. They refuse what the project's encoders never write (duplicate map keys,
// indefinite lengths, tags) and bound the structures that one input can create.
package strictcbor

import "github.com/fxamacker/cbor/v2"

// Bounds limit one input. A field that is 0 stands for the library's default.
type Bounds struct {
	ArrayElements int
	MapPairs      int
	NestedLevels  int
}

// Decoder returns a decoder with these bounds. It panics on bounds that the library
// refuses, so use it for package variables with constant bounds.
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
