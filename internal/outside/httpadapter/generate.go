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

// errAcceptTimeout and errStreamIdle tell which wait for an engine ended.
var (
	errAcceptTimeout = errors.New("the engine did not accept the request in time")
	errStreamIdle    = errors.New("the engine's stream was idle too long")
)

// Generate implements outside.Engine.
func (client *Engine) Generate(ctx context.Context, address string, request outside.GenerateRequest, receive func(outside.EngineChunk) error) error {
	place := target{operation: wire.PathGenerate, address: address}
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
		return place.notRun(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	accept := time.AfterFunc(client.pool.config.OrderTimeout, func() { cancel(errAcceptTimeout) })
	response, err := client.pool.send(ctx, place, question{method: http.MethodPost, body: encoded})
	accept.Stop()
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	stream := generationStream{
		place:   place,
		events:  newEventReader(response.Body, client.pool.config.MaxLineBytes),
		next:    request.ResumeAfter + 1,
		receive: receive,
	}
	return stream.read(ctx, cancel, client.pool.config.StreamIdleTimeout)
}

// generationStream checks and hands on the items of one generation.
type generationStream struct {
	place  target
	events *eventReader
	// next is the sequence number that the next item must have.
	next uint64
	// begun is true once an item has come.
	begun   bool
	receive func(outside.EngineChunk) error
}

// read hands on items until the finish. The idle timer ends the connection, and
// with it a blocked read.
func (stream *generationStream) read(ctx context.Context, cancel context.CancelCauseFunc, idle time.Duration) error {
	timer := time.AfterFunc(idle, func() { cancel(errStreamIdle) })
	defer timer.Stop()
	for {
		event, err := stream.events.next()
		if err != nil {
			return stream.broken(ctx, err)
		}
		// The time that receive takes is not the engine's.
		timer.Stop()
		finished, err := stream.handle(event)
		if finished || err != nil {
			return err
		}
		timer.Reset(idle)
	}
}

// broken is the failure of a stream that ended before its finish.
func (stream *generationStream) broken(ctx context.Context, err error) *Failure {
	switch err {
	case errLineTooLong, errEventTooLong, errUnknownField:
		return stream.place.malformed(err)
	}
	if cause := context.Cause(ctx); cause != nil {
		return stream.place.unknown(cause)
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return stream.place.unknown(err)
}

// handle decodes one event and hands it on; finished is true after the last.
func (stream *generationStream) handle(event serverEvent) (finished bool, err error) {
	switch event.name {
	case wire.EventChunk:
		return stream.handleChunk(event.data)
	case wire.EventError:
		var told wire.Error
		if err := json.Unmarshal(event.data, &told); err != nil {
			return false, stream.place.malformed(err)
		}
		return false, stream.place.refused(http.StatusOK, told)
	default:
		return false, stream.place.malformed(fmt.Errorf("unknown event %q", event.name))
	}
}

func (stream *generationStream) handleChunk(data []byte) (finished bool, err error) {
	var chunk wire.Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return false, stream.place.malformed(err)
	}
	if err := stream.check(chunk); err != nil {
		return false, stream.place.malformed(err)
	}
	stream.next = chunk.Sequence + 1
	stream.begun = true
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

// check refuses gaps and repeats. Only the finish may come again, alone: an
// engine repeats it to a stream that resumes after it.
func (stream *generationStream) check(chunk wire.Chunk) error {
	if chunk.Tokens < 0 || chunk.PromptTokens < 0 || chunk.CachedTokens < 0 || chunk.OutputTokens < 0 {
		return errors.New("negative number of tokens")
	}
	repeated := !stream.begun && chunk.Finish != "" && chunk.Sequence > 0 && chunk.Sequence < stream.next
	if chunk.Sequence != stream.next && !repeated {
		return fmt.Errorf("item %d came where %d was due", chunk.Sequence, stream.next)
	}
	return nil
}
