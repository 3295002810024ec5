package badly
