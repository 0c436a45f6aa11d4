package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Names of the files that Write creates, besides one SVG file for each plot.
const (
	JSONFile     = "report.json"
	MarkdownFile = "report.md"
)

// Write writes JSONFile, MarkdownFile and the plots to dir. It creates dir if needed.
func (r *Report) Write(dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	j, err := r.JSON()
	if err != nil {
		return err
	}
	for _, p := range r.Plots {
		if _, err := p.Save(dir); err != nil {
			return err
		}
	}
	if err := os.WriteFile(filepath.Join(dir, JSONFile), j, 0o644); err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(filepath.Join(dir, MarkdownFile), r.Markdown(), 0o644), "report")
}

// JSON returns the indented JSON encoding with a trailing newline.
func (r *Report) JSON() ([]byte, error) {
	b, err := json.MarshalIndent(r, "", "  ")
	return append(b, '\n'), errors.Wrap(err, "report")
}

// Read reads a report from a JSON file.
func Read(file string) (*Report, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	r := new(Report)
	return r, errors.Wrapf(json.Unmarshal(b, r), "report %s", file)
}

// Markdown returns the report as Markdown with links to its plots.
func (r *Report) Markdown() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# %s\n\n    %s\n\n", r.Title, r.Command)
	fmt.Fprintf(&b, "Seed %d, taken %s on %s.\n", r.Seed, r.Taken.Format(time.RFC3339), r.Machine)
	for _, p := range r.Params {
		fmt.Fprintf(&b, "\n* %s: %s", p.Name, p.Value)
	}
	if len(r.Params) > 0 {
		b.WriteByte('\n')
	}
	for _, t := range r.Tables {
		fmt.Fprintf(&b, "\n## %s\n\n", t.Title)
		b.Write(t.Markdown())
	}
	for _, p := range r.Plots {
		fmt.Fprintf(&b, "\n![%s](%s.svg)\n", p.Title, p.Name)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(&b, "\n%s\n", n)
	}
	return b.Bytes()
}

// Markdown returns the table as Markdown.
func (t *Table) Markdown() []byte {
	var b bytes.Buffer
	head := make([]string, len(t.Columns))
	rule := make([]string, len(t.Columns))
	for i, c := range t.Columns {
		head[i], rule[i] = c.String(), t.align(i)
	}
	writeRow(&b, head)
	writeRow(&b, rule)
	for _, row := range t.Rows {
		cells := make([]string, len(row))
		for i, c := range row {
			cells[i] = c.String()
		}
		writeRow(&b, cells)
	}
	return b.Bytes()
}

// align returns the Markdown alignment of a column: right if all its cells are numbers.
func (t *Table) align(column int) string {
	for _, row := range t.Rows {
		if row[column].Number == nil {
			return "---"
		}
	}
	return "--:"
}

// String returns the heading of the column with its unit.
func (c Column) String() string {
	if c.Unit == "" {
		return c.Name
	}
	return c.Name + " (" + c.Unit + ")"
}

// String returns a one-line description of the machine.
func (m Machine) String() string {
	s := fmt.Sprintf("%d cores", m.Cores)
	if m.CPU != "" {
		s += " (" + m.CPU + ")"
	}
	s += ", " + m.OS + ", " + m.Go
	if m.Load != "" {
		s += ", load average " + m.Load
	}
	return s
}

func writeRow(b *bytes.Buffer, cells []string) {
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(c, "|", `\|`)
	}
	b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}
