package enginemodel

import (
	"cmp"
	"slices"
	"time"
)

// ExportedBlock identifies one cached block of a program.
type ExportedBlock struct {
	Hash uint64
	// Position is the index of the block in its prefix, from 0.
	Position int
}

// Export returns the reusable blocks that program owns, ordered by position and
// then hash. The blocks stay cached until Release or eviction.
func (engine *Engine) Export(program string) []ExportedBlock {
	if engine.cache.blocksByOwner[program] == 0 {
		return nil
	}
	var exported []ExportedBlock
	for index := range engine.cache.blocks {
		entry := &engine.cache.blocks[index]
		if entry.registered && entry.owner == program {
			exported = append(exported, ExportedBlock{Hash: entry.hash, Position: int(entry.position)})
		}
	}
	slices.SortFunc(exported, func(left, right ExportedBlock) int {
		return cmp.Or(cmp.Compare(left.Position, right.Position), cmp.Compare(left.Hash, right.Hash))
	})
	return exported
}

// Import caches blocks for program, evicting idle blocks if none is free, and
// returns the number imported. Blocks that are already cached become owned by
// program. It stops when every block is referenced.
func (engine *Engine) Import(now time.Duration, program string, blocks []ExportedBlock) int {
	taken := make([]int32, 0, len(blocks))
	for _, exported := range blocks {
		index, found := engine.cache.byHash[exported.Hash]
		if found {
			engine.cache.addReference(index, program, false)
		} else {
			index = engine.cache.allocate(now, program, exported.Position)
			if index == noBlock {
				break
			}
			engine.cache.registerHash(index, exported.Hash)
		}
		taken = append(taken, index)
	}
	// The references kept the import from evicting its own blocks.
	for position := len(taken) - 1; position >= 0; position-- {
		engine.cache.removeReference(now, taken[position])
	}
	return len(taken)
}
