package strictjson

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	rawType         = reflect.TypeFor[json.RawMessage]()
)

func (d *Document) decode(v hujson.Value, path string, into any) {
	d.decodeValue(v, path, reflect.ValueOf(into).Elem())
}

// decodeValue decodes v into target, which is settable.
func (d *Document) decodeValue(v hujson.Value, path string, target reflect.Value) {
	if _, ok := d.lines[path]; !ok || path == "" {
		d.lines[path] = d.lineAt(v.StartOffset)
	}
	if target.Type() == rawType {
		d.decodeRaw(v, path, target)
		return
	}
	if target.Kind() == reflect.Pointer {
		d.decodePointer(v, path, target)
		return
	}
	if target.Addr().Type().Implements(unmarshalerType) {
		d.decodeUnmarshaler(v, path, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(v, path, target)
	case reflect.Map:
		d.decodeMap(v, path, target)
	case reflect.Slice:
		d.decodeArray(v, path, target)
	default:
		d.decodeScalar(v, path, target)
	}
}

// decodeRaw stores the value as standard JSON without comments or spaces, and keeps it
// for DecodeField.
func (d *Document) decodeRaw(v hujson.Value, path string, target reflect.Value) {
	d.rawValues[path] = v
	v = v.Clone()
	v.Minimize()
	target.SetBytes(v.Pack())
}

func (d *Document) decodePointer(v hujson.Value, path string, target reflect.Value) {
	if v.Value.Kind() == 'n' {
		target.SetZero()
		return
	}
	if target.IsNil() {
		target.Set(reflect.New(target.Type().Elem()))
	}
	d.decodeValue(v, path, target.Elem())
}

// decodeUnmarshaler decodes v with the target's UnmarshalJSON, whose error becomes a
// problem at path.
func (d *Document) decodeUnmarshaler(v hujson.Value, path string, target reflect.Value) {
	v = v.Clone()
	v.Minimize()
	err := target.Addr().Interface().(json.Unmarshaler).UnmarshalJSON(v.Pack())
	var valueErr *ValueError
	switch {
	case errors.As(err, &valueErr):
		d.Add(path, valueErr.Wrong, valueErr.Want)
	case err != nil:
		d.Add(path, err.Error(), "")
	}
}

func (d *Document) decodeObject(v hujson.Value, path string, target reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object {…}")
		return
	}
	fields := fieldIndexes(target.Type())
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := joinPath(path, name)
		line := d.lineAt(m.Name.StartOffset)
		index, known := fields[name]
		switch {
		case !known && d.lenient:
		case !known:
			d.addAt(line, at, "unknown field", suggestField(name, fields))
		case seen[name]:
			d.addAt(line, at, "given twice", "one value")
		default:
			seen[name] = true
			d.lines[at] = line
			d.decodeValue(m.Value, at, target.Field(index))
		}
	}
}

func (d *Document) decodeMap(v hujson.Value, path string, target reflect.Value) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object {…}")
		return
	}
	result := reflect.MakeMapWithSize(target.Type(), len(obj.Members))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		at := joinPath(path, name)
		key := reflect.ValueOf(name)
		if result.MapIndex(key).IsValid() {
			d.addAt(d.lineAt(m.Name.StartOffset), at, "given twice", "one value")
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(m.Value, at, element)
		result.SetMapIndex(key, element)
	}
	target.Set(result)
}

func (d *Document) decodeArray(v hujson.Value, path string, target reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, path, "an array […]")
		return
	}
	result := reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		d.decodeValue(e, path+"["+strconv.Itoa(i)+"]", result.Index(i))
	}
	target.Set(result)
}

func (d *Document) decodeScalar(v hujson.Value, path string, target reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	want := expectedScalar(target)
	if !ok || literal.Kind() == 'n' {
		d.wrongType(v, path, want)
		return
	}
	if err := json.Unmarshal(literal, target.Addr().Interface()); err != nil {
		d.wrongType(v, path, want)
	}
}

func (d *Document) wrongType(v hujson.Value, path, want string) {
	d.Add(path, "is "+describe(v), want)
}

// expectedScalar describes the JSON value that a scalar of target's type needs.
func expectedScalar(target reflect.Value) string {
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64, reflect.Uint32, reflect.Uint:
		return "a whole number, 0 or more"
	default:
		return "a whole number"
	}
}

const maxShownBytes = 40

// describe returns a value for an error message, cut to maxShownBytes.
func describe(v hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		text := string(value)
		if len(text) > maxShownBytes {
			text = strings.ToValidUTF8(text[:maxShownBytes], "") + "…"
		}
		return text
	}
	return "nothing"
}

// fieldIndexCache has the results of fieldIndexes by type, since reading a log decodes
// the same few types thousands of times.
var fieldIndexCache sync.Map

// fieldIndexes returns the indexes of t's fields by JSON name. The map is shared and
// must not be changed.
func fieldIndexes(t reflect.Type) map[string]int {
	if known, ok := fieldIndexCache.Load(t); ok {
		return known.(map[string]int)
	}
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	fieldIndexCache.Store(t, fields)
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func suggestField(name string, fields map[string]int) string {
	names := make([]string, 0, len(fields))
	for f := range fields {
		names = append(names, f)
	}
	if near := Nearest(name, names); near != "" {
		return fmt.Sprintf("%q?", near)
	}
	return "none of that name"
}
