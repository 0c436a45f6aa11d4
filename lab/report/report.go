// Package report holds the results of an experiment and writes them as JSON,
// Markdown and plots. Every report includes the command, the seed, the machine
// and its load.
package report

import (
	"strconv"
	"time"
)

// Report is the result of one run of an experiment. Its JSON encoding is
// deterministic.
type Report struct {
	Title   string    `json:"title"`
	Command string    `json:"command"` // reproduces the run
	Seed    uint64    `json:"seed"`
	Taken   time.Time `json:"taken"`
	Machine Machine   `json:"machine"`
	Params  []Param   `json:"params,omitempty"`
	Tables  []*Table  `json:"tables,omitempty"`
	Plots   []*Plot   `json:"plots,omitempty"`
	Notes   []string  `json:"notes,omitempty"` // what the results show and what they leave out
}

// Param is one setting of the run.
type Param struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Column is a table's column. Unit is empty for names and pure numbers.
type Column struct {
	Name string `json:"name"`
	Unit string `json:"unit,omitempty"`
}

// Table is a table of results. Each row has one cell per column.
type Table struct {
	Title   string   `json:"title"`
	Columns []Column `json:"columns"`
	Rows    [][]Cell `json:"rows"`
}

// Cell is either text or a number.
type Cell struct {
	Text   string   `json:"text,omitempty"`
	Number *float64 `json:"number,omitempty"`
}

// New returns an empty report of a run on this machine at time now.
func New(title, command string, seed uint64, now time.Time) *Report {
	return &Report{
		Title: title, Command: command, Seed: seed,
		Taken: now.UTC().Truncate(time.Second), Machine: ThisMachine(),
	}
}

// Param records a setting of the run.
func (r *Report) Param(name, value string) {
	r.Params = append(r.Params, Param{Name: name, Value: value})
}

// Note adds a note on the results.
func (r *Report) Note(s string) { r.Notes = append(r.Notes, s) }

// Table adds an empty table and returns it.
func (r *Report) Table(title string, columns ...Column) *Table {
	t := &Table{Title: title, Columns: columns}
	r.Tables = append(r.Tables, t)
	return t
}

// Plot adds an empty plot and returns it. Its file is name.svg.
func (r *Report) Plot(name, title, xLabel, yLabel string) *Plot {
	p := &Plot{Name: name, Title: title, XLabel: xLabel, YLabel: yLabel}
	r.Plots = append(r.Plots, p)
	return p
}

// Col returns a column with a name and the unit of its cells.
func Col(name, unit string) Column { return Column{Name: name, Unit: unit} }

// Add appends a row. It panics unless there is one cell per column, since that is a
// bug in the experiment.
func (t *Table) Add(cells ...Cell) {
	if len(cells) != len(t.Columns) {
		panic("report: row of " + strconv.Itoa(len(cells)) + " cells in table " + t.Title)
	}
	t.Rows = append(t.Rows, cells)
}

// Text returns a cell that holds text.
func Text(s string) Cell { return Cell{Text: s} }

// Num returns a cell that holds a number.
func Num(f float64) Cell { return Cell{Number: &f} }

// Count returns a cell that holds an integer.
func Count(n int) Cell { return Num(float64(n)) }

// Millis returns a cell that holds d in milliseconds.
func Millis(d time.Duration) Cell { return Num(float64(d) / float64(time.Millisecond)) }

// String returns the text of the cell in Markdown. Numbers are formatted by Format.
func (c Cell) String() string {
	if c.Number == nil {
		return c.Text
	}
	return Format(*c.Number)
}

// Format formats a number with four significant digits, integers with all digits.
func Format(f float64) string {
	const largestWhole = 1 << 53
	if f == float64(int64(f)) && f < largestWhole && f > -largestWhole {
		return strconv.FormatInt(int64(f), 10)
	}
	s := strconv.FormatFloat(f, 'g', 4, 64)
	if short, err := strconv.ParseFloat(s, 64); err == nil && short >= 1000 && short < 1e6 {
		return strconv.FormatFloat(short, 'f', 0, 64)
	}
	return s
}
