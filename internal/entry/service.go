package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"skylarklead/internal/attempt"
	"skylarklead/internal/config"
	"skylarklead/internal/member"
	"skylarklead/internal/protocol"
	"skylarklead/internal/rendezvous"
)

const (
	reasonIdempotencyKey = "idempotency_key"
	reasonLeastBusy      = "least_busy"
)

// service serves /v1/services/{service}/{path}.
func (e *Entry) service(w http.ResponseWriter, r *http.Request, req *request) *Error {
	service, refusal := allowedService(req, mux.Vars(r)["service"])
	if refusal != nil {
		return refusal
	}
	path, refusal := servicePath(mux.Vars(r)["path"])
	if refusal != nil {
		return refusal
	}
	if req.key == nil && underAnyPrefix(service.KeyRequired, path) {
		return refusef(protocol.CodeBadRequest, "%s requires the header Idempotency-Key", path)
	}
	body, refusal := e.readBody(w, r)
	if refusal != nil {
		return refusal
	}
	j := newServiceJob(req, service, r, path, body)
	e.execute(r.Context(), j, e.placeService, newServiceSink(e.newWriter(w), req.id, e.answers))
	return nil
}

func allowedService(req *request, name string) (*config.Service, *Error) {
	service := req.state.Services[name]
	if service == nil || !slices.Contains(req.organisation.Services, name) {
		return nil, refusef(protocol.CodeUnknownService, "unknown service %q", name)
	}
	return service, nil
}

// servicePath returns the decoded path of a call, with a leading slash. Paths that
// a back end may interpret as another one (".", "..", empty segments, encoded
// slashes, control bytes) are refused: "/balance/../payment" would otherwise match
// a path whose calls may be repeated.
func servicePath(encoded string) (string, *Error) {
	path, err := url.PathUnescape(encoded)
	if err != nil {
		return "", refusef(protocol.CodeBadRequest, "path: %v", err)
	}
	if strings.Count(path, "/") != strings.Count(encoded, "/") || strings.ContainsFunc(path, unsafePathRune) {
		return "", refusef(protocol.CodeBadRequest, "path has an encoded separator, or a control or reserved character")
	}
	for i, segment := range strings.Split(path, "/") {
		last := i == strings.Count(path, "/")
		if segment == "." || segment == ".." || segment == "" && !last {
			return "", refusef(protocol.CodeBadRequest, `path has an empty, "." or ".." segment`)
		}
	}
	return "/" + path, nil
}

func unsafePathRune(c rune) bool {
	return c < 0x20 || c == 0x7f || c == '\\' || c == '?' || c == '#' || c == '%'
}

// underAnyPrefix reports whether path equals one of prefixes or is below one.
func underAnyPrefix(prefixes []string, path string) bool {
	return slices.ContainsFunc(prefixes, func(p string) bool {
		p = "/" + strings.Trim(p, "/")
		return p == "/" || path == p || strings.HasPrefix(path, p+"/")
	})
}

func newServiceJob(req *request, service *config.Service, r *http.Request, path string, body []byte) *job {
	target := (&url.URL{Path: path}).EscapedPath()
	if r.URL.RawQuery != "" {
		target += "?" + r.URL.RawQuery
	}
	j := &job{
		request: req,
		group:   service.Group,
		call: &protocol.Call{
			Service:     service.ID,
			Method:      r.Method,
			Path:        target,
			ContentType: r.Header.Get("Content-Type"),
			Body:        body,
		},
		repeatable: req.key == nil && underAnyPrefix(service.Repeatable, path),
		receiver:   attempt.NewReceiver(window),
	}
	j.fingerprint = callFingerprint(j)
	return j
}

// callFingerprint returns the same hash when the same call is sent again.
func callFingerprint(j *job) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(j.organisation.ID + "\x00" + j.call.Service + "\x00" + j.call.Method + "\x00" + j.call.Path + "\x00")
	_, _ = d.Write(j.call.Body)
	return d.Sum64()
}

// placeService chooses an executor for a call. Calls with the same idempotency key
// go to the same endpoint, whichever entry receives them, so that a duplicate
// usually finds the first one there. Other calls go to the endpoint with the fewest
// calls in flight from this entry.
func (e *Entry) placeService(_ context.Context, j *job) *protocol.Decision {
	live := e.directory.live(j.group)
	live = slices.DeleteFunc(live, func(m member.Member) bool { return slices.Contains(j.exclude, m.ID) })
	if len(live) == 0 {
		return noEndpoint(j)
	}
	chosen, reason := e.leastBusy(live), reasonLeastBusy
	if j.key != nil {
		chosen, reason = endpointForKey(j.key, live), reasonIdempotencyKey
	}
	return &protocol.Decision{
		Request:  j.id,
		Executor: protocol.Target{Endpoint: chosen.ID, Address: chosen.Address},
		Reason:   reason,
	}
}

func endpointForKey(key []byte, live []member.Member) member.Member {
	ids := make([]string, len(live))
	for i, m := range live {
		ids[i] = m.ID
	}
	first := rendezvous.First(xxhash.Sum64(key), ids)
	return live[slices.Index(ids, first)]
}

// leastBusy starts at a random endpoint, so that entries don't all prefer the same
// one.
func (e *Entry) leastBusy(live []member.Member) member.Member {
	offset := rand.IntN(len(live))
	best := live[offset]
	for i := range live {
		m := live[(offset+i)%len(live)]
		if e.inFlight.count(m.ID) < e.inFlight.count(best.ID) {
			best = m
		}
	}
	return best
}
