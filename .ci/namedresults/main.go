// Command namedresults finds functions whose results have names that are not needed. Names are needed if two results have the same type, if a
// deferred function uses a result, or if the doc comment describes a result by its name.
//
// Usage, from the root of the repository: go run ./.ci/namedresults. It prints the position of each such function and exits with status 1 if
// there are any.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

func main() {
	found := 0
	files := token.NewFileSet()
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path != "." && strings.HasPrefix(entry.Name(), ".") || entry.Name() == "target") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		for _, position := range unneededNames(file) {
			fmt.Printf("%s: a result has a name that is not needed\n", files.Position(position))
			found++
		}
		return nil
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if found > 0 {
		os.Exit(1)
	}
}

// unneededNames returns the positions of the functions in a file whose results have names that are not needed.
func unneededNames(file *ast.File) []token.Pos {
	var positions []token.Pos
	check := func(signature *ast.FuncType, body *ast.BlockStmt, doc *ast.CommentGroup) {
		if hasNames(signature) && !sharesType(signature) && !usedByDefer(signature, body) && !documented(signature, doc) {
			positions = append(positions, signature.Pos())
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			check(n.Type, n.Body, n.Doc)
		case *ast.FuncLit:
			check(n.Type, n.Body, nil)
		case *ast.Field:
			if signature, ok := n.Type.(*ast.FuncType); ok {
				check(signature, nil, n.Doc)
			}
		}
		return true
	})
	return positions
}

func hasNames(signature *ast.FuncType) bool {
	return signature.Results != nil && len(signature.Results.List) > 0 && len(signature.Results.List[0].Names) > 0
}

// sharesType reports whether two results have the same type, so that only their names distinguish them.
func sharesType(signature *ast.FuncType) bool {
	seen := map[string]bool{}
	for _, result := range signature.Results.List {
		text := types.ExprString(result.Type)
		if seen[text] || len(result.Names) > 1 {
			return true
		}
		seen[text] = true
	}
	return false
}

// usedByDefer reports whether a deferred function uses a result.
func usedByDefer(signature *ast.FuncType, body *ast.BlockStmt) bool {
	if body == nil {
		return false
	}
	used := false
	ast.Inspect(body, func(node ast.Node) bool {
		deferred, ok := node.(*ast.DeferStmt)
		if !ok {
			return true
		}
		ast.Inspect(deferred, func(node ast.Node) bool {
			if id, ok := node.(*ast.Ident); ok && isResult(signature, id.Name) {
				used = true
			}
			return true
		})
		return true
	})
	return used
}

func isResult(signature *ast.FuncType, name string) bool {
	for _, result := range signature.Results.List {
		for _, id := range result.Names {
			if id.Name == name && name != "_" {
				return true
			}
		}
	}
	return false
}

// documented reports whether the doc comment describes a result: its name is followed by a verb like "is" or "names".
func documented(signature *ast.FuncType, doc *ast.CommentGroup) bool {
	if doc == nil {
		return false
	}
	for _, result := range signature.Results.List {
		for _, id := range result.Names {
			if regexp.MustCompile(`\b` + id.Name + ` (is|are|tells|says|holds|gives|names|counts)\b`).MatchString(doc.Text()) {
				return true
			}
		}
	}
	return false
}
