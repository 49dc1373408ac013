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

// rig is a stand-in that serves, and its client.
type rig struct {
	*testing.T
	engine *Engine
	client *api.Client
	base   string
}

// fast are costs that keep tests short.
func fast() Settings {
	s := DefaultSettings()
	s.StepMs, s.StepPerRequestMs, s.EventDelayMs, s.LoadLagMs, s.LoadMs = 1, 0, 0, 0, 1
	s.PrefillTokensPerSecond = 1e6
	s.CrashMode, s.RestartMs = CrashReset, 1
	return s
}

func newRig(t *testing.T, settings Settings) *rig {
	t.Helper()
	e := New(Options{Model: "m", Version: "v1", Role: "mixed", Seed: 1, Settings: settings})
	ctx, cancel := context.WithCancel(context.Background())
	addresses := make(chan string, 100)
	served := make(chan error, 1)
	go func() { served <- e.Serve(ctx, "127.0.0.1:0", func(a string) { addresses <- a }) }()
	r := &rig{T: t, engine: e, base: "http://" + <-addresses}
	r.client = api.NewClient(r.base)
	t.Cleanup(func() {
		cancel()
		r.client.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return r
}

func (r *rig) context() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), kit.Patience)
	r.Cleanup(cancel)
	return ctx
}

func (r *rig) control(body string) {
	r.Helper()
	kit.Control(r, r.base, body)
}

func (r *rig) account() Stats {
	r.Helper()
	return kit.Get[Stats](r, r.base+"/control/account?hashes=1")
}

// prompt has a shared prefix of 64 blocks and a question.
func prompt(charter, question string) []prefix.Message {
	return []prefix.Message{
		{Role: "system", Content: strings.Repeat(charter+" ", 64*prefix.BlockBytes/(len(charter)+1))},
		{Role: "user", Content: question},
	}
}

func query(id, salt string, messages []prefix.Message, tokens int) api.Request {
	return api.Request{ID: id, Model: "m", Messages: messages, MaxTokens: tokens, CacheSalt: salt}
}

// drain reads a stream up to its explicit end.
func drain(s *api.Stream) (text string, usage *api.Usage, err error) {
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

func (r *rig) complete(q api.Request) (string, *api.Usage) {
	r.Helper()
	s := kit.Must(r.client.Complete(r.context(), q))(r)
	text, usage, err := drain(s)
	if err != nil {
		r.Fatal(err)
	}
	return text, usage
}
