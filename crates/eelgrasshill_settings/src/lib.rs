//! INI settings and tables, checked in full and resolved once.
//!
//! Every mistake of a file is reported at once, each with file, section,
//! field and what is allowed, so that an operator mends them in one go.

mod entry;
mod gateway;
mod problem;
mod reader;
mod render;
mod section;
mod tables;

pub use entry::{Bounds, EntrySettings, FleetShares};
pub use gateway::{GatewayBounds, GatewaySettings, OrderBounds, RetryBounds};
pub use problem::{Problem, Problems};
pub use render::{render_pools, render_routes};
pub use tables::{EditedTables, read_edited, read_tables};
