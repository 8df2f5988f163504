package scheduler

import "fmt"

// readAssignment reads the next records of the stream: immediately while there are more, at
// intervals once the end is reached or a read has failed.
func (core *Core) readAssignment(assignment *assignment) {
	if assignment.reading || (assignment.atEnd || assignment.failed) && core.now-assignment.lastRead < streamReadInterval {
		return
	}
	assignment.lastRead = core.now
	assignment.reading = true
	if !assignment.streamOpened {
		core.emit(OpenStream{Shard: assignment.number, Below: assignment.excludedFrom})
		return
	}
	core.emit(ReadStream{Shard: assignment.number, From: assignment.offset})
}

// streamOpened adopts the view of the whole stream unless it is outdated.
func (core *Core) streamOpened(event StreamOpened) {
	assignment := core.assignments[event.Shard]
	if assignment == nil {
		return
	}
	assignment.reading = false
	assignment.failed = event.view == nil
	unwanted := assignment.streamOpened || event.Below != assignment.excludedFrom || core.hosts[event.Shard] != nil && assignment.rebuild == nil
	if assignment.failed || unwanted {
		return
	}
	assignment.streamOpened = true
	assignment.streamView = event.view
	assignment.snapshotIndex = max(assignment.snapshotIndex, event.view.restored)
	core.log("stream_opened", assignment.number, "", "",
		fmt.Sprintf("read %d bytes, restored from the snapshot at index %d", event.Bytes, event.view.restored))
	if event.view.unreadable > 0 {
		core.log("stream_record_unreadable", assignment.number, "", "", fmt.Sprintf("%d unreadable records", event.view.unreadable))
	}
}

func (core *Core) streamRead(event StreamRead) {
	assignment := core.assignments[event.Shard]
	if assignment == nil {
		return
	}
	assignment.reading = false
	if event.Failed {
		assignment.atEnd = false
		assignment.failed = true
		return
	}
	assignment.failed = false
	if !assignment.streamOpened || event.From != assignment.offset {
		// The read was requested before the stream was reopened.
		return
	}
	for _, record := range event.Records {
		if err := assignment.read(record); err != nil {
			core.log("stream_record_unreadable", assignment.number, "", "", err.Error())
		}
	}
	assignment.atEnd = event.AtEnd
}
