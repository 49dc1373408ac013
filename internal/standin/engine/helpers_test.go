package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	api "skylarklead/internal/engine"
	"skylarklead/internal/prefix"
)

const testDeadline = 10 * time.Second

// rig is a stand-in that serves, and its client.
type rig struct {
	*testing.T
	engine *Engine
	client *api.Client
	base   string
}

// fast are costs that keep tests short.
func fast() Settings {
	s := Defaults()
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
	ctx, cancel := context.WithTimeout(context.Background(), testDeadline)
	r.Cleanup(cancel)
	return ctx
}

func (r *rig) control(body string) {
	r.Helper()
	resp, err := http.Post(r.base+"/control", "application/json", bytes.NewBufferString(body))
	if err != nil {
		r.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		r.Fatalf("control %s: %d %s", body, resp.StatusCode, data)
	}
}

func (r *rig) account() Account {
	r.Helper()
	resp, err := http.Get(r.base + "/control/account?hashes=1")
	if err != nil {
		r.Fatal(err)
	}
	defer resp.Body.Close()
	var a Account
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		r.Fatal(err)
	}
	return a
}

// eventually waits for a condition.
func (r *rig) eventually(what string, condition func() bool) {
	r.Helper()
	for deadline := time.Now().Add(testDeadline); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			r.Fatalf("never: %s", what)
		}
	}
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
	s, err := r.client.Complete(r.context(), q)
	if err != nil {
		r.Fatal(err)
	}
	text, usage, err := drain(s)
	if err != nil {
		r.Fatal(err)
	}
	return text, usage
}
