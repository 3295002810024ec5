// Package label holds the type of operator-given names.
package label

// Name is an operator-given name of an entry, version, back end or route, in kebab case.
type Name string

const maxLength = 63

// Valid reports whether the name has 1 to 63 characters of a-z, 0-9, '-' and '.', and starts with a letter.
func (n Name) Valid() bool {
	if len(n) == 0 || len(n) > maxLength || n[0] < 'a' || n[0] > 'z' {
		return false
	}
	for i := range len(n) {
		if !isNameByte(n[i]) {
			return false
		}
	}
	return true
}

func isNameByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z':
		return true
	case c >= '0' && c <= '9':
		return true
	default:
		return c == '-' || c == '.'
	}
}
