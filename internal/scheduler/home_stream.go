package scheduler

import "fmt"

// readHome reads on in the stream: at once while there is more, at intervals at
// its end.
func (core *Core) readHome(home *home) {
	if home.reading || (home.atEnd || home.failed) && core.now-home.lastAsk < streamReadInterval {
		return
	}
	home.lastAsk = core.now
	home.reading = true
	if !home.opened {
		core.emit(OpenStream{Shard: home.number, Below: home.below})
		return
	}
	core.emit(ReadStream{Shard: home.number, From: home.offset})
}

// streamOpened takes a view of the whole stream in.
func (core *Core) streamOpened(event StreamOpened) {
	home := core.homes[event.Shard]
	if home == nil {
		return
	}
	home.reading = false
	home.failed = event.view == nil
	unwanted := home.opened || event.Below != home.below || core.hosts[event.Shard] != nil && home.rebuild == nil
	if home.failed || unwanted {
		return
	}
	home.opened = true
	home.streamView = event.view
	home.snapshotIndex = max(home.snapshotIndex, event.view.restored)
	core.log("stream_opened", home.number, "", "",
		fmt.Sprintf("%d bytes from snapshot %d", event.Bytes, event.view.restored))
	if event.view.unreadable > 0 {
		core.log("stream_record_unreadable", home.number, "", "", fmt.Sprintf("%d records", event.view.unreadable))
	}
}

func (core *Core) streamRead(event StreamRead) {
	home := core.homes[event.Shard]
	if home == nil {
		return
	}
	home.reading = false
	if event.Failed {
		home.atEnd = false
		home.failed = true
		return
	}
	home.failed = false
	if !home.opened || event.From != home.offset {
		// Asked for before the stream was begun anew.
		return
	}
	for _, record := range event.Records {
		if err := home.read(record); err != nil {
			core.log("stream_record_unreadable", home.number, "", "", err.Error())
		}
	}
	home.atEnd = event.AtEnd
}
