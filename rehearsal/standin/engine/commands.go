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

// PathLeave marks the engine as leaving in its own reports; it does not change the machine
// list.
const PathLeave = "/debug/leave"

// Roles of an engine.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

var roles = []string{RoleMixed, RolePrefill, RoleDecode}

// exportVersion is the format version of an export.
const exportVersion = 1

// exportPayload is the content of an export, opaque to callers.
type exportPayload struct {
	Format int                         `json:"format"`
	Model  string                      `json:"model"`
	Blocks []enginemodel.ExportedBlock `json:"blocks"`
}

func (engine *Engine) routeCommands(mux *http.ServeMux) {
	reply.HandlePost(mux, wire.PathCancel, engine.cancel)
	reply.HandlePost(mux, wire.PathRelease, engine.release)
	reply.HandlePost(mux, wire.PathExport, engine.export)
	reply.HandlePost(mux, wire.PathImport, engine.importBlocks)
	reply.HandlePost(mux, wire.PathLoad, engine.startLoad)
	reply.HandlePost(mux, wire.PathRole, engine.setRole)
	reply.HandlePost(mux, PathLeave, engine.leave)
}

// cancel ends a generation, or rejects an id that has not arrived yet. A finished
// generation is unchanged.
func (engine *Engine) cancel(request wire.CancelRequest) (wire.Empty, error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(request.Fence); err != nil {
		return wire.Empty{}, err
	}
	generation, found := engine.generations[request.RequestID]
	if !found {
		engine.rejected.add(request.RequestID, wire.CodeCancelled)
		return wire.Empty{}, nil
	}
	if engine.model.Cancel(engine.now(), request.RequestID) {
		engine.finish(generation, wire.Chunk{
			Finish:       finishCancelled,
			OutputTokens: int(generation.produced.Load()),
		})
	}
	return wire.Empty{}, nil
}

func (engine *Engine) release(request wire.ProgramRequest) (wire.BlocksResponse, error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(request.Fence); err != nil {
		return wire.BlocksResponse{}, err
	}
	return wire.BlocksResponse{Blocks: engine.model.Release(engine.now(), request.Program)}, nil
}

func (engine *Engine) export(request wire.ProgramRequest) (wire.ExportResponse, error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(request.Fence); err != nil {
		return wire.ExportResponse{}, err
	}
	payload, err := json.Marshal(exportPayload{
		Format: exportVersion,
		Model:  engine.weights.model,
		Blocks: engine.model.Export(request.Program),
	})
	return wire.ExportResponse{Content: payload}, err
}

func (engine *Engine) importBlocks(request wire.ImportRequest) (wire.BlocksResponse, error) {
	var payload exportPayload
	if err := json.Unmarshal(request.Content, &payload); err != nil || payload.Format != exportVersion {
		return wire.BlocksResponse{}, reply.BadRequest("content is no export")
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(request.Fence); err != nil {
		return wire.BlocksResponse{}, err
	}
	if payload.Model != engine.weights.model {
		return wire.BlocksResponse{}, reply.NotRun(http.StatusConflict, wire.CodeWrongModel, "the export is of another model")
	}
	return wire.BlocksResponse{Blocks: engine.model.Import(engine.now(), request.Program, payload.Blocks)}, nil
}

func (engine *Engine) startLoad(request wire.LoadRequest) (wire.Empty, error) {
	if request.Model == "" || request.Version == "" {
		return wire.Empty{}, reply.BadRequest("model and version must not be empty")
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(request.Fence); err != nil {
		return wire.Empty{}, err
	}
	engine.weights.loading = &request
	engine.weights.switching = false
	go engine.carryOutLoad(&request)
	return wire.Empty{}, nil
}

func (engine *Engine) setRole(request wire.RoleRequest) (wire.Empty, error) {
	if !slices.Contains(roles, request.Role) {
		return wire.Empty{}, reply.BadRequest("unknown role " + request.Role)
	}
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if err := engine.checkFence(request.Fence); err != nil {
		return wire.Empty{}, err
	}
	engine.role = request.Role
	return wire.Empty{}, nil
}

func (engine *Engine) leave(wire.Empty) (wire.Empty, error) {
	engine.lock.Lock()
	defer engine.lock.Unlock()
	if engine.leavingSince.IsZero() {
		engine.leavingSince = time.Now()
	}
	return wire.Empty{}, nil
}
