package service

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"skylarklead/internal/engine"
)

func TestRunsAndFaults(t *testing.T) {
	server := httptest.NewServer(New().Handler())
	defer server.Close()
	client := engine.NewService(server.URL)
	call := func() (Answer, int, error) {
		resp, err := client.Call(context.Background(), engine.ServiceRequest{
			ID: "r1", Key: "k1", Method: http.MethodPost, Path: "/pay/now?x=1", Body: []byte(`{"echo":"mine"}`),
		})
		if err != nil {
			return Answer{}, 0, err
		}
		defer resp.Body.Close()
		var a Answer
		return a, resp.Status, json.NewDecoder(resp.Body).Decode(&a)
	}
	if a, status, err := call(); err != nil || status != 200 || a != (Answer{Echo: "mine", Path: "/pay/now", Run: 1}) {
		t.Errorf("answer %+v, %d, %v", a, status, err)
	}
	control(t, server.URL, `{"error_status": 500}`)
	if a, status, err := call(); err != nil || status != 500 || a.Run != 2 {
		t.Errorf("error answer %+v, %d, %v", a, status, err)
	}
	control(t, server.URL, `{"error_status": 0, "lose_answer": true}`)
	if _, _, err := call(); !errors.Is(err, engine.ErrLost) {
		t.Errorf("lost answer: %v", err)
	}
	resp, err := http.Get(server.URL + "/control/runs")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var runs Runs
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		t.Fatal(err)
	}
	if runs.ByRequest["r1"] != 3 || runs.ByKey["k1"] != 3 || runs.Total != 3 {
		t.Errorf("runs %+v", runs)
	}
}

func control(t *testing.T, base, body string) {
	t.Helper()
	resp, err := http.Post(base+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body)
		t.Fatalf("control %s: %s", body, data)
	}
}
