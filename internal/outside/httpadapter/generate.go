package httpadapter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/magpielug/magpielug/internal/outside"
	"github.com/magpielug/magpielug/internal/outside/wire"
)

// Causes of a timeout of a generation.
var (
	errAcceptTimeout = errors.New("engine did not accept the request in time")
	errStreamIdle    = errors.New("no event from the engine within the idle timeout")
)

// Generate implements outside.Engine.
func (client *Engine) Generate(ctx context.Context, address string, request outside.GenerateRequest, receive func(outside.EngineChunk) error) error {
	target := endpoint{operation: wire.PathGenerate, address: address}
	encoded, err := json.Marshal(wire.GenerateRequest{
		RequestID:   request.RequestID,
		Program:     request.Program,
		Model:       request.Model,
		Adapter:     request.Adapter,
		Prompt:      request.Prompt,
		MaxTokens:   request.MaxTokens,
		Priority:    request.Priority,
		Fence:       wireFence(request.Fence),
		ResumeAfter: request.ResumeAfter,
		AttachOnly:  request.AttachOnly,
	})
	if err != nil {
		return target.notRun(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	accept := time.AfterFunc(client.pool.config.RequestTimeout, func() { cancel(errAcceptTimeout) })
	response, err := client.pool.send(ctx, target, requestSpec{method: http.MethodPost, body: encoded})
	accept.Stop()
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	stream := generationStream{
		endpoint:     target,
		events:       newEventReader(response.Body, client.pool.config.MaxLineBytes),
		nextSequence: request.ResumeAfter + 1,
		receive:      receive,
	}
	return stream.read(ctx, cancel, client.pool.config.StreamIdleTimeout)
}

// generationStream validates the chunks of one generation and passes them to receive.
type generationStream struct {
	endpoint endpoint
	events   *eventReader
	// nextSequence is the expected sequence number of the next chunk.
	nextSequence uint64
	// started is true after the first chunk.
	started bool
	receive func(outside.EngineChunk) error
}

// read passes on chunks up to the finish. The idle timer cancels ctx, which unblocks a
// pending read.
func (stream *generationStream) read(ctx context.Context, cancel context.CancelCauseFunc, idle time.Duration) error {
	timer := time.AfterFunc(idle, func() { cancel(errStreamIdle) })
	defer timer.Stop()
	for {
		event, err := stream.events.next()
		if err != nil {
			return stream.streamError(ctx, err)
		}
		// The idle timeout excludes the time spent in receive.
		timer.Stop()
		finished, err := stream.handle(event)
		if finished || err != nil {
			return err
		}
		timer.Reset(idle)
	}
}

// streamError returns the failure of a stream that ended before its finish.
func (stream *generationStream) streamError(ctx context.Context, err error) *Failure {
	switch err {
	case errLineTooLong, errEventTooLong, errUnknownField:
		return stream.endpoint.malformed(err)
	}
	if cause := context.Cause(ctx); cause != nil {
		return stream.endpoint.outcomeUnknown(cause)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return stream.endpoint.outcomeUnknown(err)
}

// handle processes one event. finished is true after the last chunk.
func (stream *generationStream) handle(event serverEvent) (finished bool, err error) {
	switch event.name {
	case wire.EventChunk:
		return stream.handleChunk(event.data)
	case wire.EventError:
		var wireError wire.Error
		if err := json.Unmarshal(event.data, &wireError); err != nil {
			return false, stream.endpoint.malformed(err)
		}
		return false, stream.endpoint.errorResponse(http.StatusOK, wireError)
	default:
		return false, stream.endpoint.malformed(fmt.Errorf("unknown event type %q", event.name))
	}
}

func (stream *generationStream) handleChunk(data []byte) (finished bool, err error) {
	var chunk wire.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, stream.endpoint.malformed(err)
	}
	if err := stream.checkChunk(chunk); err != nil {
		return false, stream.endpoint.malformed(err)
	}
	stream.nextSequence = chunk.Sequence + 1
	stream.started = true
	err = stream.receive(outside.EngineChunk{
		Sequence:     chunk.Sequence,
		Text:         chunk.Text,
		Tokens:       chunk.Tokens,
		Finish:       chunk.Finish,
		PromptTokens: chunk.PromptTokens,
		CachedTokens: chunk.CachedTokens,
		OutputTokens: chunk.OutputTokens,
	})
	return chunk.Finish != "", err
}

// checkChunk rejects gaps and duplicates. The only duplicate allowed is a finish as the
// first chunk: an engine sends it again to a stream that resumes after it.
func (stream *generationStream) checkChunk(chunk wire.Chunk) error {
	if chunk.Tokens < 0 || chunk.PromptTokens < 0 || chunk.CachedTokens < 0 || chunk.OutputTokens < 0 {
		return errors.New("negative token count in chunk")
	}
	repeated := !stream.started && chunk.Finish != "" && chunk.Sequence > 0 && chunk.Sequence < stream.nextSequence
	if chunk.Sequence != stream.nextSequence && !repeated {
		return fmt.Errorf("out-of-order chunk: got sequence %d, expected %d", chunk.Sequence, stream.nextSequence)
	}
	return nil
}
