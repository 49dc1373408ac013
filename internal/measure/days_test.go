package measure

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestPlayedDays(t *testing.T) {
	folder := t.TempDir()
	write := func(name, data string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(folder, name), []byte(data), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	write("1.json", `{"id":"a","cmd":"score","ok":true,"site":"s","score":0.1,"days":[]}`)
	write("2.json", `{"id":"b","cmd":"score","ok":true,"site":"s","score":0.9,"why":"w","days":[{"name":"quiet","G":0.5,"served":0.9,
		"rules":{"LOST":2},"prices":[["a",1,0.01],["b",1,0.2],["c",1,0.1],["d",1,0.05],["odd"]]}]}`)
	write("3.json", `{"id":"c","cmd":"score","ok":false,"site":"s","days":[]}`)
	write("4.json", `{"id":"d","cmd":"run","ok":true,"site":"s","days":[]}`)
	var out strings.Builder
	if err := PlayedDays(&out, folder); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"run b, score 0.900 (w)", "| quiet | LOST 2 | 0.500 | 0.900 | 0.000 | 0.000 | b 0.200; c 0.100; d 0.050 |"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	write("5.json", `{`)
	if err := PlayedDays(&out, folder); !errors.Is(err, ErrJournal) {
		t.Errorf("malformed entry: %v", err)
	}
}
