package enginemodel

import (
	"cmp"
	"slices"
	"time"
)

// ExportedBlock names one block of a program's cache.
type ExportedBlock struct {
	Hash uint64
	// Position is the block's place in its prefix, from 0.
	Position int
}

// Export lists the shared blocks that program owns, prefix order first. The
// blocks stay; Release frees them.
func (engine *Engine) Export(program string) []ExportedBlock {
	if engine.cache.owned[program] == 0 {
		return nil
	}
	var exported []ExportedBlock
	for index := range engine.cache.blocks {
		entry := &engine.cache.blocks[index]
		if entry.shared && entry.owner == program {
			exported = append(exported, ExportedBlock{Hash: entry.hash, Position: int(entry.position)})
		}
	}
	slices.SortFunc(exported, func(left, right ExportedBlock) int {
		return cmp.Or(cmp.Compare(left.Position, right.Position), cmp.Compare(left.Hash, right.Hash))
	})
	return exported
}

// Import caches blocks for program, evicting idle ones where none is free, and
// returns how many it took. Blocks already there move to program. It stops
// when every block is in use.
func (engine *Engine) Import(now time.Duration, program string, blocks []ExportedBlock) int {
	taken := make([]int32, 0, len(blocks))
	for _, exported := range blocks {
		index, found := engine.cache.byHash[exported.Hash]
		if found {
			engine.cache.reference(index, program, false)
		} else {
			index = engine.cache.allocate(now, program, exported.Position)
			if index == none {
				break
			}
			engine.cache.share(index, exported.Hash)
		}
		taken = append(taken, index)
	}
	// The blocks were referenced so that the import doesn't evict its own.
	for place := len(taken) - 1; place >= 0; place-- {
		engine.cache.dereference(now, taken[place])
	}
	return len(taken)
}
