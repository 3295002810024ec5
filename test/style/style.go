// Package style checks the project's code rules that no linter covers.
package style

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const module = "github.com/dragonflyroute/dragonflyroute"

// layers lists the layers from top to bottom; each may import itself and the layers below it.
var layers = []string{"transport", "coordination", "state", "protocol"}

// foreignFormat lists the files that implement a published format, whose field names need not be kebab case.
var foreignFormat = []string{
	"standin/assign.go",
	"standin/engine.go",
	"standin/prefixes.go",
	"standin/rows.go",
	"standin/site.go",
	"standin/table.go",
	"transport/caller/stream.go",
	"transport/engine/assign.go",
	"transport/engine/engine.go",
	"transport/engine/events.go",
	"transport/front/models.go",
	"transport/plat/plat.go",
}

// adapters is the folder that implements the protocols of the users' platform, with its field names and headers.
const adapters = "platform/"

// wireNameFolders lists the folders that may contain names of the platform's protocols: adapters, stand-in and tests.
var wireNameFolders = []string{adapters, "standin/", "test/"}

// wireName matches a header, call or field of the platform's protocols.
var wireName = regexp.MustCompile(`Dragonflyroute-[A-Z]|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|expectedRev|Kv-F`)

// maxAdapterShare is the largest share of the product's lines that the adapters may have.
const maxAdapterShare = 0.15

// errorPackage is the only package that may create errors from strings.
const errorPackage = "protocol/fault"

var (
	packageName = regexp.MustCompile(`^[a-z]{4,6}$`)
	kebabCase   = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
)

type checker struct {
	root       string
	files      *token.FileSet
	types      map[string][]string
	violations []string
	current    string
	// lines counts the product's lines without tests, adapterLines those of the adapters among them.
	lines, adapterLines int
}

// Check parses the Go files below root, except those in testdata, tools and hidden folders, and returns the sorted rule
// violations. It returns an error if a file can't be read or parsed.
func Check(root string) ([]string, error) {
	c := &checker{root: root, files: token.NewFileSet(), types: map[string][]string{}}
	err := filepath.WalkDir(root, c.visit)
	if err != nil {
		return nil, err
	}
	for dir, names := range c.types {
		if len(names) > 1 {
			c.violations = append(c.violations, fmt.Sprintf("%s: exported-types: %s", dir, strings.Join(names, ", ")))
		}
	}
	if float64(c.adapterLines) > maxAdapterShare*float64(c.lines) {
		c.violations = append(c.violations, fmt.Sprintf("%s: adapter-size: %d of %d lines", adapters, c.adapterLines, c.lines))
	}
	slices.Sort(c.violations)
	return c.violations, nil
}

func (c *checker) visit(path string, d fs.DirEntry, err error) error {
	if err != nil {
		return err
	}
	if d.IsDir() && path != c.root && (d.Name() == "testdata" || d.Name() == "tools" || strings.HasPrefix(d.Name(), ".")) {
		return fs.SkipDir
	}
	if d.IsDir() || !strings.HasSuffix(path, ".go") {
		return nil
	}
	file, err := parser.ParseFile(c.files, path, nil, 0)
	if err != nil {
		return err
	}
	relative, err := filepath.Rel(c.root, path)
	if err != nil {
		return err
	}
	c.current = filepath.ToSlash(relative)
	c.countLines(file)
	c.checkPackage(file)
	c.checkImports(file)
	ast.Inspect(file, c.checkNode)
	return nil
}

// countLines adds a file to the product's line counts, unless it is a test or part of the benchmarks, simulations or
// stand-ins.
func (c *checker) countLines(file *ast.File) {
	first, _, _ := strings.Cut(c.current, "/")
	if strings.HasSuffix(c.current, "_test.go") || slices.Contains([]string{"bench", "model", "standin", "test"}, first) {
		return
	}
	n := c.files.File(file.Pos()).LineCount()
	c.lines += n
	if strings.HasPrefix(c.current, adapters) {
		c.adapterLines += n
	}
}

func (c *checker) report(rule, format string, args ...any) {
	c.violations = append(c.violations, c.current+": "+rule+": "+fmt.Sprintf(format, args...))
}

func (c *checker) dir() string { return filepath.ToSlash(filepath.Dir(c.current)) }

func (c *checker) checkPackage(file *ast.File) {
	name := file.Name.Name
	if strings.HasSuffix(c.current, "_test.go") {
		if !strings.HasSuffix(name, "_test") {
			c.report("external-test", "package %s", name)
		}
		return
	}
	if name != "main" && !packageName.MatchString(name) {
		c.report("package-name", "%s", name)
	}
	if name != "main" {
		c.collectTypes(file)
	}
}

func (c *checker) collectTypes(file *ast.File) {
	for _, decl := range file.Decls {
		g, ok := decl.(*ast.GenDecl)
		if !ok || g.Tok != token.TYPE {
			continue
		}
		for _, spec := range g.Specs {
			if t, ok := spec.(*ast.TypeSpec); ok && t.Name.IsExported() {
				c.types[c.dir()] = append(c.types[c.dir()], t.Name.Name)
			}
		}
	}
}

func layerIndex(path string) int {
	first, _, _ := strings.Cut(path, "/")
	return slices.Index(layers, first)
}

func (c *checker) checkImports(file *ast.File) {
	own := layerIndex(c.current)
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		importPath, ours := strings.CutPrefix(path, module+"/")
		if !ours {
			continue
		}
		if strings.HasPrefix(importPath, adapters) && c.dir() != "." && !strings.HasPrefix(c.current, adapters) {
			c.report("adapter-import", "%s", importPath)
		}
		if other := layerIndex(importPath); own >= 0 && other < own {
			c.report("import-direction", "%s", importPath)
		}
	}
}

func (c *checker) checkNode(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.GoStmt:
		c.report("bare-go", "line %d", c.files.Position(n.Pos()).Line)
	case *ast.CallExpr:
		c.checkCall(n)
	case *ast.Field:
		c.checkTag(n)
	case *ast.BasicLit:
		c.checkLiteral(n)
	}
	return true
}

func (c *checker) checkCall(n *ast.CallExpr) {
	selector, ok := n.Fun.(*ast.SelectorExpr)
	if !ok || c.dir() == errorPackage {
		return
	}
	pkg, ok := selector.X.(*ast.Ident)
	if !ok {
		return
	}
	call := pkg.Name + "." + selector.Sel.Name
	if slices.Contains([]string{"errors.New", "errors.Errorf", "fmt.Errorf"}, call) {
		c.report("bare-error", "%s on line %d", call, c.files.Position(n.Pos()).Line)
	}
}

func (c *checker) checkLiteral(n *ast.BasicLit) {
	inFolder := func(folder string) bool { return strings.HasPrefix(c.current, folder) }
	if n.Kind != token.STRING || strings.HasSuffix(c.current, "_test.go") || slices.ContainsFunc(wireNameFolders, inFolder) {
		return
	}
	if name := wireName.FindString(n.Value); name != "" {
		c.report("wire-name", "%s on line %d", name, c.files.Position(n.Pos()).Line)
	}
}

func (c *checker) checkTag(n *ast.Field) {
	if n.Tag == nil || strings.HasPrefix(c.current, adapters) || slices.Contains(foreignFormat, c.current) {
		return
	}
	tag, err := strconv.Unquote(n.Tag.Value)
	if err != nil {
		return
	}
	name, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
	if name != "" && name != "-" && !kebabCase.MatchString(name) {
		c.report("kebab-case", "%s", name)
	}
}
