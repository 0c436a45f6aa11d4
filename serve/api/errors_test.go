package api

import (
	"go/ast"
	"go/parser"
	"go/token"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"mallowwind.dev/decision/verdict"
)

// An error code without an entry in statusByCode is reported with status 500. An invalid
// idempotency key would then look like an internal error. Each code that package verdict declares
// must have a status.
func TestEachCodeHasAStatus(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../decision/verdict/verdict.go", nil, 0)
	must.NoError(t, err)
	codes := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || spec.Type == nil || len(spec.Values) != 1 {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); !ok || id.Name != "Code" {
			return true
		}
		value, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		must.NoError(t, err)
		must.MapContainsKey(t, statusByCode, verdict.Code(value))
		codes++
		return true
	})
	must.Positive(t, codes)
}
