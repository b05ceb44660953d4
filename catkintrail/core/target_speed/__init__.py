"""How fast targets are, and how many requests each of them handles well."""
