//! Decisions of a zone's lease holder on what each engine holds.
