package event

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the queue of lines for a slow output. With 250 bytes per line, a full queue
// takes a quarter of a megabyte and holds some seconds of the log of a busy daemon.
const maxQueuedLines = 1024

// Writer writes lines to an output in a separate goroutine, so that a slow reader of the log never
// blocks the code that logs. Lines that exceed the queue are dropped and counted. As soon as the
// output accepts lines again, the number of dropped lines is reported to onDrop.
type Writer struct {
	lines      chan []byte
	quit       chan struct{}
	done       chan struct{}
	unreported atomic.Uint64 // not yet passed to onDrop
	dropped    atomic.Uint64 // since the start
	onDrop     func(n uint64)
}

// NewWriter starts a Writer with the output out. onDrop is called in the Writer's goroutine with
// the number of lines dropped since its last call; it may be nil.
func NewWriter(out io.Writer, onDrop func(n uint64)) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{}), onDrop: onDrop}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case w.lines <- queued:
	default:
		w.drop(1)
	}
	return len(line), nil
}

// drop counts n dropped lines.
func (w *Writer) drop(n uint64) {
	w.unreported.Add(n)
	w.dropped.Add(n)
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine. Lines written later are lost without an
// error, because a request that is still running while the daemon stops must not crash when it
// logs.
func (w *Writer) Close() {
	close(w.quit)
	<-w.done
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(out, line)
		case <-w.quit:
			w.flush(out)
			return
		}
	}
}

func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(out, line)
		default:
			return
		}
	}
}

func (w *Writer) writeLine(out io.Writer, line []byte) {
	// If the log cannot be written, the count is the only place to report it.
	if _, err := out.Write(line); err != nil {
		w.drop(1)
		return
	}
	if n := w.unreported.Swap(0); n > 0 && w.onDrop != nil {
		w.onDrop(n)
	}
}
