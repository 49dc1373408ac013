package service

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"skylarklead/internal/engine"
	"skylarklead/test/kit"
)

func TestRunsAndFaults(t *testing.T) {
	server := httptest.NewServer(New().Handler())
	defer server.Close()
	client := engine.NewService(server.URL)
	call := func() (Response, int, error) {
		resp, err := client.Call(context.Background(), engine.ServiceRequest{
			ID: "r1", Key: "k1", Method: http.MethodPost, Path: "/pay/now?x=1", Body: []byte(`{"echo":"mine"}`),
		})
		if err != nil {
			return Response{}, 0, err
		}
		defer resp.Body.Close()
		var a Response
		return a, resp.Status, json.NewDecoder(resp.Body).Decode(&a)
	}
	if a, status, err := call(); err != nil || status != 200 || a != (Response{Echo: "mine", Path: "/pay/now", Run: 1}) {
		t.Errorf("answer %+v, %d, %v", a, status, err)
	}
	kit.Control(t, server.URL, `{"error_status": 500}`)
	if a, status, err := call(); err != nil || status != 500 || a.Run != 2 {
		t.Errorf("error answer %+v, %d, %v", a, status, err)
	}
	kit.Control(t, server.URL, `{"error_status": 0, "lose_answer": true}`)
	if _, _, err := call(); !errors.Is(err, engine.ErrOutcomeUnknown) {
		t.Errorf("lost answer: %v", err)
	}
	runs := kit.Get[Runs](t, server.URL+"/control/runs")
	if runs.ByRequest["r1"] != 3 || runs.ByIdempotencyKey["k1"] != 3 || runs.Total != 3 {
		t.Errorf("runs %+v", runs)
	}
}
