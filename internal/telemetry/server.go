package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const readHeaderTimeout = 5 * time.Second

// maxHeaderBytes bounds the head of a request for the metrics page.
const maxHeaderBytes = 16 << 10

// Serve serves the metrics page on address in the background until ctx ends. It does
// nothing for an empty address.
func (t *Telemetry) Serve(ctx context.Context, address string) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("telemetry: metrics page: %w", err)
	}
	server := &http.Server{Handler: t.Metrics.Handler(), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	go func() {
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			t.Log.Error("metrics page stopped serving", "error", err)
		}
	}()
	return nil
}
