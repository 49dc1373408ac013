package engine

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
	"skylarklead/test/kit"
)

// testEngine is a running stand-in and a client of it.
type testEngine struct {
	*testing.T
	engine  *Engine
	client  *api.Client
	baseURL string
}

// fastSettings returns settings whose costs and delays keep tests short.
func fastSettings() Settings {
	s := DefaultSettings()
	s.StepMs, s.StepPerRequestMs, s.EventDelayMs, s.LoadLagMs, s.LoadMs = 1, 0, 0, 0, 1
	s.PrefillTokensPerSecond = 1e6
	s.CrashMode, s.RestartMs = CrashReset, 1
	return s
}

func newTestEngine(t *testing.T, settings Settings) *testEngine {
	t.Helper()
	e := New(Options{Model: "m", Version: "v1", Role: "mixed", Seed: 1, Settings: settings})
	ctx, cancel := context.WithCancel(context.Background())
	addresses := make(chan string, 100)
	served := make(chan error, 1)
	go func() { served <- e.Serve(ctx, "127.0.0.1:0", func(a string) { addresses <- a }) }()
	r := &testEngine{T: t, engine: e, baseURL: "http://" + <-addresses}
	r.client = api.NewClient(r.baseURL)
	t.Cleanup(func() {
		cancel()
		r.client.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return r
}

func (r *testEngine) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), kit.Timeout)
	r.Cleanup(cancel)
	return ctx
}

func (r *testEngine) control(body string) {
	r.Helper()
	kit.Control(r, r.baseURL, body)
}

func (r *testEngine) stats() Stats {
	r.Helper()
	return kit.Get[Stats](r, r.baseURL+"/control/account?hashes=1")
}

// prompt returns a system message of about 64 blocks and a question.
func prompt(charter, question string) []prefix.Message {
	return []prefix.Message{
		{Role: "system", Content: strings.Repeat(charter+" ", 64*prefix.BlockBytes/(len(charter)+1))},
		{Role: "user", Content: question},
	}
}

func completionRequest(id, salt string, messages []prefix.Message, tokens int) api.Request {
	return api.Request{ID: id, Model: "m", Messages: messages, MaxTokens: tokens, CacheSalt: salt}
}

// readAll reads a stream up to its final event.
func readAll(s *api.Stream) (text string, usage *api.Usage, err error) {
	defer s.Close()
	var b strings.Builder
	for {
		event, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), usage, nil
		}
		if err != nil {
			return b.String(), usage, err
		}
		b.WriteString(event.Text)
		if event.Usage != nil {
			usage = event.Usage
		}
	}
}

func (r *testEngine) complete(q api.Request) (string, *api.Usage) {
	r.Helper()
	s := kit.Must(r.client.Complete(r.context(), q))(r)
	text, usage, err := readAll(s)
	if err != nil {
		r.Fatal(err)
	}
	return text, usage
}
