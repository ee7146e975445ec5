//! Decisions on queueing, choice of upstream, retry and resumption.
