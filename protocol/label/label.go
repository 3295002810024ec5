// Package label holds the names that operators give.
package label

// Name is an operator-given name of an entry, version, back end or route, in kebab case.
type Name string

const maxLength = 63

// Valid reports whether the name is 1 to 63 of a-z, 0-9, '-' and '.', starting with a letter.
func (n Name) Valid() bool {
	if len(n) == 0 || len(n) > maxLength || n[0] < 'a' || n[0] > 'z' {
		return false
	}
	for i := range len(n) {
		if !nameByte(n[i]) {
			return false
		}
	}
	return true
}

func nameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z':
		return true
	case c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '.'
	}
}
