package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const (
	// instancesField is the field of the list's body that has the instances.
	instancesField = "instances"
	// maxListDepth bounds the levels of a list, each of which takes some 20 bytes while the list is split.
	maxListDepth = 1 << 20
)

var (
	errMalformedList = errors.New("malformed instance list")
	errNoID          = errors.New("no id")
	errTooDeep       = errors.New("nested too deeply")
	errFurtherData   = errors.New("further data after the list")
)

// decodeList decodes the body of the list. Malformed instances are skipped, as one must not hide the others; skipped says how
// many there are, and what is wrong with the first.
func decodeList(data []byte) (list []Instance, skipped, err error) {
	encoded, err := splitList(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	var first error
	for n, value := range encoded {
		in, err := decodeInstance(value)
		if err == nil {
			list = append(list, in)
		} else if first == nil {
			first = fmt.Errorf("instance %d of the list: %w", n, err)
		}
	}
	if first != nil {
		skipped = fmt.Errorf("platform: %d malformed instances, the first: %w", len(encoded)-len(list), first)
	}
	return list, skipped, nil
}

func decodeInstance(data []byte) (Instance, error) {
	var in Instance
	if err := json.Unmarshal(data, &in); err != nil {
		return Instance{}, err
	}
	if in.ID == "" {
		return Instance{}, errNoID
	}
	return in, nil
}

// splitList returns the encoded instances of a list.
func splitList(data []byte) ([]json.RawMessage, error) {
	var list struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if json.Unmarshal(data, &list) == nil {
		return list.Instances, nil
	}
	return splitDeepList(data)
}

// splitDeepList is splitList of a list that json.Unmarshal rejects, since it is malformed or nested too deeply.
func splitDeepList(data []byte) ([]json.RawMessage, error) {
	s := newSplitter(data)
	if err := s.expect(json.Delim('{')); err != nil {
		return nil, err
	}
	var instances []json.RawMessage
	for s.decoder.More() {
		name, err := s.decoder.Token()
		if err != nil {
			return nil, err
		}
		if name == instancesField {
			instances, err = s.elements()
		} else {
			_, err = s.next()
		}
		if err != nil {
			return nil, err
		}
	}
	return instances, s.end()
}

// splitter splits a JSON text into values, at any depth up to maxListDepth.
type splitter struct {
	data    []byte
	decoder *json.Decoder
}

func newSplitter(data []byte) *splitter {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber() // numbers may be out of float64's range
	return &splitter{data: data, decoder: d}
}

func (s *splitter) expect(want json.Token) error {
	switch got, err := s.decoder.Token(); {
	case err != nil:
		return err
	case got != want:
		return fmt.Errorf("%v instead of %v", got, want)
	}
	return nil
}

// elements returns the encoded elements of the array that is next; null has none.
func (s *splitter) elements() ([]json.RawMessage, error) {
	begin, err := s.decoder.Token()
	if err != nil || begin == nil {
		return nil, err
	}
	if begin != json.Delim('[') {
		return nil, fmt.Errorf("%v instead of an array", begin)
	}
	var all []json.RawMessage
	for s.decoder.More() {
		value, err := s.next()
		if err != nil {
			return nil, err
		}
		all = append(all, value)
	}
	return all, s.expect(json.Delim(']'))
}

// next returns the encoded value that is next.
func (s *splitter) next() (json.RawMessage, error) {
	begin := s.decoder.InputOffset()
	for depth := 0; ; {
		token, err := s.decoder.Token()
		if err != nil {
			return nil, err
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth == 0 {
			break
		}
		if depth > maxListDepth {
			return nil, errTooDeep
		}
	}
	value := s.data[begin:s.decoder.InputOffset()]
	return bytes.TrimLeft(value, " \t\r\n,:"), nil
}

// end checks the end of the text.
func (s *splitter) end() error {
	if err := s.expect(json.Delim('}')); err != nil {
		return err
	}
	if _, err := s.decoder.Token(); err != io.EOF {
		return errFurtherData
	}
	return nil
}
