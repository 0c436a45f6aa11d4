package site

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/control/inifile"
)

func TestReferencePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/site-text.md")
	must.NoError(t, err)
	must.StrContains(t, string(page), inifile.MarkdownTables(Reference()))
}
