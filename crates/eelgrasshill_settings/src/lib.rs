//! INI settings and tables, resolved once into checked structs.
