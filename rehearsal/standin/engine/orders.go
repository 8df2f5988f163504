package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/magpielug/magpielug/internal/outside/wire"
	"github.com/magpielug/magpielug/rehearsal/enginemodel"
	"github.com/magpielug/magpielug/rehearsal/standin/reply"
)

// PathLeave makes the engine say that it is leaving; the machine list's
// stand-in is told apart.
const PathLeave = "/debug/leave"

// Roles that an engine can be given.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

var roles = []string{RoleMixed, RolePrefill, RoleDecode}

// exportFormat versions the content of an export.
const exportFormat = 1

// exportContent is the content of an export, opaque to callers.
type exportContent struct {
	Format int                         `json:"format"`
	Model  string                      `json:"model"`
	Blocks []enginemodel.ExportedBlock `json:"blocks"`
}

func (engine *Engine) routeOrders(mux *http.ServeMux) {
	reply.HandlePost(mux, wire.PathCancel, engine.cancel)
	reply.HandlePost(mux, wire.PathRelease, engine.release)
	reply.HandlePost(mux, wire.PathExport, engine.export)
	reply.HandlePost(mux, wire.PathImport, engine.importBlocks)
	reply.HandlePost(mux, wire.PathLoad, engine.orderLoad)
	reply.HandlePost(mux, wire.PathRole, engine.setRole)
	reply.HandlePost(mux, PathLeave, engine.leave)
}

// cancel ends a generation, or bars an id that has not come yet from running.
// An id that finished stays as it is.
func (engine *Engine) cancel(order wire.CancelRequest) (wire.Empty, error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(order.Fence); err != nil {
		return wire.Empty{}, err
	}
	stream, found := engine.generations[order.RequestID]
	if !found {
		engine.barred.add(order.RequestID, wire.CodeCancelled)
		return wire.Empty{}, nil
	}
	if engine.model.Cancel(engine.now(), order.RequestID) {
		engine.finish(stream, wire.Chunk{
			Finish:       finishCancelled,
			OutputTokens: int(stream.produced.Load()),
		})
	}
	return wire.Empty{}, nil
}

func (engine *Engine) release(order wire.ProgramRequest) (wire.BlocksAnswer, error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(order.Fence); err != nil {
		return wire.BlocksAnswer{}, err
	}
	return wire.BlocksAnswer{Blocks: engine.model.Release(engine.now(), order.Program)}, nil
}

func (engine *Engine) export(order wire.ProgramRequest) (wire.ExportAnswer, error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(order.Fence); err != nil {
		return wire.ExportAnswer{}, err
	}
	content, err := json.Marshal(exportContent{
		Format: exportFormat,
		Model:  engine.weights.model,
		Blocks: engine.model.Export(order.Program),
	})
	return wire.ExportAnswer{Content: content}, err
}

func (engine *Engine) importBlocks(order wire.ImportRequest) (wire.BlocksAnswer, error) {
	var content exportContent
	if err := json.Unmarshal(order.Content, &content); err != nil || content.Format != exportFormat {
		return wire.BlocksAnswer{}, reply.BadRequest("content is no export")
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(order.Fence); err != nil {
		return wire.BlocksAnswer{}, err
	}
	if content.Model != engine.weights.model {
		return wire.BlocksAnswer{}, reply.NotRun(http.StatusConflict, wire.CodeWrongModel, "the export is of another model")
	}
	return wire.BlocksAnswer{Blocks: engine.model.Import(engine.now(), order.Program, content.Blocks)}, nil
}

func (engine *Engine) orderLoad(order wire.LoadRequest) (wire.Empty, error) {
	if order.Model == "" || order.Version == "" {
		return wire.Empty{}, reply.BadRequest("model and version must not be empty")
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(order.Fence); err != nil {
		return wire.Empty{}, err
	}
	engine.weights.loading = &order
	engine.weights.switching = false
	go engine.load(&order)
	return wire.Empty{}, nil
}

func (engine *Engine) setRole(order wire.RoleRequest) (wire.Empty, error) {
	if !slices.Contains(roles, order.Role) {
		return wire.Empty{}, reply.BadRequest("unknown role " + order.Role)
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(order.Fence); err != nil {
		return wire.Empty{}, err
	}
	engine.role = order.Role
	return wire.Empty{}, nil
}

func (engine *Engine) leave(wire.Empty) (wire.Empty, error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if engine.leaving.IsZero() {
		engine.leaving = time.Now()
	}
	return wire.Empty{}, nil
}
