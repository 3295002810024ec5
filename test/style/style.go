// Package style checks the house rules that no linter knows.
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

// layers lists the layers from the top; each may import itself and those below it.
var layers = []string{"transport", "coordination", "state", "protocol"}

// foreign lists the files that speak a published format, whose field names are not ours.
var foreign = []string{
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

// adapters is the folder that speaks the users' platform; its field names and headers are not ours.
const adapters = "platform/"

// speakers lists the folders that may name what crosses the platform's wire: the adapters, their stand-in and tests.
var speakers = []string{adapters, "standin/", "test/"}

// wireName finds a header, call or field of the platform's wire in a string.
var wireName = regexp.MustCompile(`Dragonflyroute-[A-Z]|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|expectedRev|Kv-F`)

// mostAdapters is the largest part of the product's lines that the adapters may have.
const mostAdapters = 0.15

// errorPackage is the only one that may make errors out of strings.
const errorPackage = "protocol/fault"

var (
	packageName = regexp.MustCompile(`^[a-z]{4,6}$`)
	kebabCase   = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)
)

type checker struct {
	root    string
	files   *token.FileSet
	types   map[string][]string
	faults  []string
	current string
	// lines counts the product's lines without tests, and adapterLines those of the adapters.
	lines, adapterLines int
}

// Check reads every Go file below root, apart from testdata, and returns what breaks a rule.
func Check(root string) ([]string, error) {
	c := &checker{root: root, files: token.NewFileSet(), types: map[string][]string{}}
	err := filepath.WalkDir(root, c.visit)
	if err != nil {
		return nil, err
	}
	for dir, names := range c.types {
		if len(names) > 1 {
			c.faults = append(c.faults, fmt.Sprintf("%s: exported-types: %s", dir, strings.Join(names, ", ")))
		}
	}
	if float64(c.adapterLines) > mostAdapters*float64(c.lines) {
		c.faults = append(c.faults, fmt.Sprintf("%s: adapter-size: %d of %d lines", adapters, c.adapterLines, c.lines))
	}
	slices.Sort(c.faults)
	return c.faults, nil
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
	ast.Inspect(file, c.node)
	return nil
}

// countLines counts the product's own lines: no tests, and none of the programs that measure it or stand in for others.
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

func (c *checker) fault(rule, format string, args ...any) {
	c.faults = append(c.faults, c.current+": "+rule+": "+fmt.Sprintf(format, args...))
}

func (c *checker) dir() string { return filepath.ToSlash(filepath.Dir(c.current)) }

func (c *checker) checkPackage(file *ast.File) {
	name := file.Name.Name
	if strings.HasSuffix(c.current, "_test.go") {
		if !strings.HasSuffix(name, "_test") {
			c.fault("external-test", "package %s", name)
		}
		return
	}
	if name != "main" && !packageName.MatchString(name) {
		c.fault("package-name", "%s", name)
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

func layer(path string) int {
	first, _, _ := strings.Cut(path, "/")
	return slices.Index(layers, first)
}

func (c *checker) checkImports(file *ast.File) {
	own := layer(c.current)
	for _, spec := range file.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			continue
		}
		inner, ours := strings.CutPrefix(path, module+"/")
		if !ours {
			continue
		}
		if strings.HasPrefix(inner, adapters) && c.dir() != "." && !strings.HasPrefix(c.current, adapters) {
			c.fault("adapter-import", "%s", inner)
		}
		if other := layer(inner); own >= 0 && other < own {
			c.fault("import-direction", "%s", inner)
		}
	}
}

func (c *checker) node(n ast.Node) bool {
	switch n := n.(type) {
	case *ast.GoStmt:
		c.fault("bare-go", "line %d", c.files.Position(n.Pos()).Line)
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
	from, ok := selector.X.(*ast.Ident)
	if !ok {
		return
	}
	call := from.Name + "." + selector.Sel.Name
	if slices.Contains([]string{"errors.New", "errors.Errorf", "fmt.Errorf"}, call) {
		c.fault("bare-error", "%s on line %d", call, c.files.Position(n.Pos()).Line)
	}
}

func (c *checker) checkLiteral(n *ast.BasicLit) {
	speaks := func(folder string) bool { return strings.HasPrefix(c.current, folder) }
	if n.Kind != token.STRING || strings.HasSuffix(c.current, "_test.go") || slices.ContainsFunc(speakers, speaks) {
		return
	}
	if name := wireName.FindString(n.Value); name != "" {
		c.fault("wire-name", "%s on line %d", name, c.files.Position(n.Pos()).Line)
	}
}

func (c *checker) checkTag(n *ast.Field) {
	if n.Tag == nil || strings.HasPrefix(c.current, adapters) || slices.Contains(foreign, c.current) {
		return
	}
	tag, err := strconv.Unquote(n.Tag.Value)
	if err != nil {
		return
	}
	name, _, _ := strings.Cut(reflect.StructTag(tag).Get("json"), ",")
	if name != "" && name != "-" && !kebabCase.MatchString(name) {
		c.fault("kebab-case", "%s", name)
	}
}
