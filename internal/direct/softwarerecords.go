package direct

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"skylarklead/internal/fleet"
	"skylarklead/internal/origin"
	"skylarklead/internal/strictcbor"
)

const (
	// topicSoftware has the software versions at which streams may have begun that can be taken up.
	topicSoftware = "keyed.skylark.software"
	// completeKey is the key of the record that says that the others are complete.
	completeKey = "complete"
)

// errMalformedUse reports a record of topicSoftware that can't be decoded.
var errMalformedUse = errors.New("direct: malformed record of a software version")

// storedUse is a record of topicSoftware. That of completeKey has only an era, plus one: the records are
// complete in that era alone.
type storedUse struct {
	Service  string `cbor:"1,keyasint,omitempty"`
	Version  string `cbor:"2,keyasint,omitempty"`
	Model    string `cbor:"3,keyasint,omitempty"`
	Closing  bool   `cbor:"4,keyasint,omitempty"`
	Complete uint64 `cbor:"5,keyasint,omitempty"`
}

var useDecoder = strictcbor.Decoder(strictcbor.Bounds{MapPairs: 16})

func encodeUse(u *storedUse) []byte {
	b, err := cbor.Marshal(u)
	if err != nil {
		panic(err) // the type has only fields that can be encoded
	}
	return b
}

// decodeEvidence decodes the records of topicSoftware. One that can't be decoded may be that of any use, so
// nothing is complete beside it.
func decodeEvidence(page fleet.Page) (origin.Evidence, error) {
	e := origin.Evidence{Era: fleet.Era(page.Next), Uses: make(map[origin.Use]origin.Recorded, len(page.Records))}
	var malformed error
	for _, record := range page.Records {
		var u storedUse
		if err := useDecoder.Unmarshal(record.Value, &u); err != nil {
			malformed = fmt.Errorf("%w: %q: %w", errMalformedUse, record.Key, err)
			continue
		}
		name := origin.UseName{Service: u.Service, Version: u.Version, Model: u.Model}
		switch {
		case record.Key == completeKey:
			e.Complete = u.Complete == e.Era+1
		case u.Version == "" || name.Use().Key() != record.Key:
			malformed = fmt.Errorf("%w: %q names %q", errMalformedUse, record.Key, name)
		default:
			e.Uses[name.Use()] = origin.Recorded{Name: name, Closing: u.Closing, At: record.Offset + 1}
		}
	}
	e.Complete = e.Complete && malformed == nil
	return e, malformed
}

func encodeUseRecord(name origin.UseName, closing bool) fleet.Record {
	return fleet.Record{Key: name.Use().Key(), Value: encodeUse(&storedUse{Service: name.Service, Version: name.Version, Model: name.Model, Closing: closing})}
}

func encodeCompleteRecord(era uint64) fleet.Record {
	return fleet.Record{Key: completeKey, Value: encodeUse(&storedUse{Complete: era + 1})}
}

// useNamesOf returns the uses of a replica.
func useNamesOf(r *fleet.Replica) []origin.UseName {
	if len(r.Weights) == 0 {
		return []origin.UseName{{Service: r.Service, Version: r.Software}}
	}
	names := make([]origin.UseName, 0, len(r.Weights))
	for model := range r.Weights {
		names = append(names, origin.UseName{Service: r.Service, Version: r.Software, Model: model})
	}
	return names
}
