package entry

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"skylarklead/internal/attempt"
	"skylarklead/internal/config"
	"skylarklead/internal/parameters"
	"skylarklead/internal/prefix"
	"skylarklead/internal/protocol"
)

// chat serves POST /v1/chat/completions.
func (e *Entry) chat(w http.ResponseWriter, r *http.Request, req *request) *Error {
	data, refusal := e.readBody(w, r)
	if refusal != nil {
		return refusal
	}
	body, err := parseChat(data)
	if err != nil {
		return refusef(protocol.CodeBadRequest, "%v", err)
	}
	j, refusal := newChatJob(req, body)
	if refusal != nil {
		return refusal
	}
	e.execute(r.Context(), j, e.placeChat, e.newAnswerSink(w, req, body))
	return nil
}

func (e *Entry) newAnswerSink(w http.ResponseWriter, req *request, body *chatBody) sink {
	meta := newChatMeta(req.id, body.Model)
	if body.Stream {
		return newSSESink(e.newWriter(w), meta, req.id, body.IncludeUsage)
	}
	return newChatSink(e.newWriter(w), meta, req.id, e.answers)
}

// newChatJob checks a chat request against the configuration and makes a job of it.
func newChatJob(req *request, body *chatBody) (*job, *Error) {
	model, version, refusal := allowedModel(req, body)
	if refusal != nil {
		return nil, refusal
	}
	j := &job{
		request:    req,
		group:      model.Group,
		model:      model.ID,
		version:    version,
		anyVersion: body.Version == "",
		messages:   body.Messages,
		priority:   body.Priority,
		maxTokens:  capTokens(body.MaxTokens, model.MaxTokens),
		repeatable: req.key == nil,
		streamed:   body.Stream,
		receiver:   attempt.NewReceiver(window),
		parameters: body.Parameters,
		structured: parameters.Structured(body.Parameters),
	}
	j.promptTokens = prefix.EstimateTokens(promptWithInstructions(req.organisation, body.Messages))
	j.fingerprint = chatFingerprint(j)
	j.useVersion(version)
	return j, nil
}

// useVersion sets the version to request. The prompt's levels are salted with it.
func (j *job) useVersion(version string) {
	j.version = version
	salt := prefix.Salt{Organisation: j.organisation.ID, Model: j.model, Weights: version}
	j.levels = prefix.Levels(salt.Root(), promptWithInstructions(j.organisation, j.messages))
}

func allowedModel(req *request, body *chatBody) (*config.Model, string, *Error) {
	model := req.state.Models[body.Model]
	if model == nil {
		return nil, "", refusef(protocol.CodeUnknownModel, "unknown model %q", body.Model)
	}
	version := body.Version
	if version == "" {
		version = model.Version
	}
	if !slices.Contains(model.Versions, version) && version != model.Version {
		return nil, "", refusef(protocol.CodeUnknownModel, "model %q has no version %q", body.Model, version)
	}
	if !req.organisation.Allows(model.ID, version) {
		return nil, "", refusef(protocol.CodeForbiddenModel, "organisation may not use %s@%s", model.ID, version)
	}
	return model, version, nil
}

// capTokens limits the requested tokens to the model's limit; 0 means unlimited.
func capTokens(asked, bound int) int {
	if asked == 0 || bound > 0 && asked > bound {
		return bound
	}
	return asked
}

// promptWithInstructions prepends the organisation's standing instructions to the
// caller's messages. The executor does the same, so that both hash the same bytes.
func promptWithInstructions(o *config.Organisation, messages []prefix.Message) []prefix.Message {
	prompt := make([]prefix.Message, 0, len(o.Instructions)+len(messages))
	for _, text := range o.Instructions {
		prompt = append(prompt, prefix.Message{Role: "system", Content: text})
	}
	return append(prompt, messages...)
}

// chatFingerprint hashes everything in the body that the answer depends on, so that
// a repeated request has the same fingerprint. The messages come last: the fields
// before them contain no zero bytes, so the separators are unambiguous.
func chatFingerprint(j *job) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(j.organisation.ID + "\x00" + j.model + "\x00" + j.version + "\x00")
	_, _ = d.WriteString(strconv.Itoa(j.maxTokens) + "\x00" + string(j.parameters) + "\x00")
	_, _ = d.Write(prefix.Flatten(j.messages))
	return d.Sum64()
}
