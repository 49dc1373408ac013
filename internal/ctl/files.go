package ctl

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/tailscale/hujson"

	"skylarklead/internal/config"
)

// source is one record of an input file.
type source struct {
	record config.Record
	// hasBase is set if the file contains the field "base".
	hasBase bool
}

// readFiles reads and validates the records of all files. Its error joins those of
// all files.
func readFiles(paths []string) ([]source, error) {
	var all []source
	var problems []error
	for _, path := range paths {
		records, err := readFile(path)
		problems = append(problems, err)
		all = append(all, records...)
	}
	return all, errors.Join(problems...)
}

// readFile reads a file with one record or an array of them; "-" is the standard
// input.
func readFile(path string) ([]source, error) {
	data, err := readBytes(path)
	if err != nil {
		return nil, err
	}
	texts := split(data)
	if len(texts) == 0 {
		return nil, fmt.Errorf("%s: the list is empty; want a record or a list of records", path)
	}
	var sources []source
	var problems []error
	for _, text := range texts {
		s, err := parseSource(text, path)
		problems = append(problems, err)
		sources = append(sources, s)
	}
	return sources, errors.Join(problems...)
}

func readBytes(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}

// split returns the elements of an array, or data itself if it is none. Each
// element is preceded by as many newlines as come before it in data, so that line
// numbers in errors are those of the file.
func split(data []byte) [][]byte {
	value, err := hujson.Parse(data)
	if err != nil {
		return [][]byte{data}
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		return [][]byte{data}
	}
	var texts [][]byte
	for _, e := range array.Elements {
		lines := bytes.Count(data[:e.StartOffset], []byte{'\n'})
		texts = append(texts, append(bytes.Repeat([]byte{'\n'}, lines), data[e.StartOffset:e.EndOffset]...))
	}
	return texts
}

func parseSource(text []byte, path string) (source, error) {
	r, err := config.ParseRecord(text, path)
	if err != nil {
		return source{}, err
	}
	if r.Kind == config.KindSnapshot {
		return source{}, fmt.Errorf("%s: snapshot records can't be published; daemons write them", path)
	}
	if !r.KnownSchema() {
		return source{}, fmt.Errorf("%s: %s has schema %d; this tool can check schemas up to %d", path, r.Name(), r.Schema, config.MaxSchema)
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return source{}, err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(standard, &fields); err != nil {
		return source{}, err
	}
	_, hasBase := fields["base"]
	return source{record: r, hasBase: hasBase}, nil
}
