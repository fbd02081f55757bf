package tomlfile

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// position is a position in the file; both numbers count from 1.
type position struct {
	line, column int
}

// indexPositions maps each dotted key of the file to its position. Elements of
// an array of tables are numbered from 0, as in "engine.0.id".
func indexPositions(data []byte) map[string]position {
	index := map[string]position{}
	counts := map[string]int{}
	parser := unstable.Parser{}
	parser.Reset(data)
	prefix := ""
	for parser.NextExpression() {
		node := parser.Expression()
		path, at := keyOf(&parser, node)
		switch node.Kind {
		case unstable.Table:
			prefix = resolve(path, counts)
			index[prefix] = at
		case unstable.ArrayTable:
			base := resolveParent(path, counts)
			prefix = fmt.Sprintf("%s.%d", base, counts[base])
			counts[base]++
			index[prefix] = at
		case unstable.KeyValue:
			key := join(prefix, strings.Join(path, "."))
			index[key] = at
			indexInline(&parser, key, node.Value(), index)
		}
	}
	return index
}

// indexInline adds the keys of inline tables, also of those within arrays.
func indexInline(p *unstable.Parser, key string, value *unstable.Node, index map[string]position) {
	switch value.Kind {
	case unstable.InlineTable:
		it := value.Children()
		for it.Next() {
			path, at := keyOf(p, it.Node())
			child := join(key, strings.Join(path, "."))
			index[child] = at
			indexInline(p, child, it.Node().Value(), index)
		}
	case unstable.Array:
		it := value.Children()
		for i := 0; it.Next(); i++ {
			indexInline(p, fmt.Sprintf("%s.%d", key, i), it.Node(), index)
		}
	}
}

func keyOf(p *unstable.Parser, node *unstable.Node) ([]string, position) {
	var path []string
	var at position
	it := node.Key()
	for it.Next() {
		part := it.Node()
		if at.line == 0 {
			shape := p.Shape(part.Raw)
			at = position{line: shape.Start.Line, column: shape.Start.Column}
		}
		path = append(path, string(part.Data))
	}
	return path, at
}

// resolve turns the path of a table into an indexed path: each part that
// names an array of tables gets the number of its latest element.
func resolve(path []string, counts map[string]int) string {
	resolved := ""
	for _, part := range path {
		resolved = join(resolved, part)
		if n := counts[resolved]; n > 0 {
			resolved = fmt.Sprintf("%s.%d", resolved, n-1)
		}
	}
	return resolved
}

func resolveParent(path []string, counts map[string]int) string {
	parent := resolve(path[:len(path)-1], counts)
	return join(parent, path[len(path)-1])
}
