package measure

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestQuantilesOf(t *testing.T) {
	var values []float64
	for i := range 200 {
		values = append(values, float64(200-i))
	}
	if got, want := quantilesOf(values), (Quantiles{P50: 100, P95: 190, P99: 198}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := quantilesOf([]float64{3}); got != (Quantiles{3, 3, 3}) {
		t.Errorf("of one value: %+v", got)
	}
	if got := quantilesOf(nil); got != (Quantiles{}) {
		t.Errorf("of none: %+v", got)
	}
}

func TestTimeAnswer(t *testing.T) {
	const role = "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n\n"
	const words = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\n"
	const usage = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9}}\n\n"
	const end = "data: [DONE]\n\n"
	for _, tt := range []struct {
		name, body string
		good       bool
	}{
		{"whole", role + words + usage + end, true},
		{"no end", role + words, false},
		{"error", role + "event: error\ndata: x\n\n", false},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, tt.body) }))
		req, err := http.NewRequest(http.MethodPost, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		got, err := timeAnswer(req)
		server.Close()
		if (err == nil) != tt.good || tt.name == "no end" && !errors.Is(err, errNoEnd) {
			t.Errorf("%s: %v", tt.name, err)
		}
		if tt.good && (got.text != "a b" || got.firstToken <= 0 || got.usage.PromptTokens != 9) {
			t.Errorf("%s: got %+v", tt.name, got)
		}
	}
}
