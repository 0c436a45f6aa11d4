package event

import (
	"io"
	"sync/atomic"
)

// maxQueuedLines bounds the lines that wait for a slow output: at 250 bytes a line
// a quarter of a megabyte, and some seconds of a busy daemon's log.
const maxQueuedLines = 1024

// Writer hands lines to an output in a goroutine of its own, so that a decision
// never waits for whoever reads the log. Lines beyond the bound are dropped and
// counted; the output is told how many as soon as it takes lines again.
type Writer struct {
	lines      chan []byte
	quit       chan struct{}
	done       chan struct{}
	unreported atomic.Uint64
	dropped    atomic.Uint64 // dropped since the start
	onDrop     func(n uint64)
}

// NewWriter starts a writer to out. onDrop is called in the writer's goroutine
// after lines were dropped; it may be nil.
func NewWriter(out io.Writer, onDrop func(n uint64)) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{}), onDrop: onDrop}
	go w.run(out)
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.drop(1)
	}
	return len(line), nil
}

// drop counts lines that are not written.
func (w *Writer) drop(n uint64) {
	w.unreported.Add(n)
	w.dropped.Add(n)
}

// Dropped is the number of lines dropped since the start.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Close writes what is queued and ends the goroutine. Lines that come later are
// lost: a request that outlives its daemon must not crash over its log line.
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
	// A log that cannot be written has nowhere to say so but the count.
	if _, err := out.Write(line); err != nil {
		w.drop(1)
		return
	}
	if n := w.unreported.Swap(0); n > 0 && w.onDrop != nil {
		w.onDrop(n)
	}
}
