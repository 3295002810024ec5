package twotwo

// One is one.
type One int

// Two is two.
type Two int
