//! Parsing and validation of the INI settings of entry hosts and gateways and of the INI tables.
//!
//! All mistakes in a file are reported together, each with file, section, field and allowed
//! values, so that an operator can correct them in one pass.

mod entry;
mod gateway;
mod machine;
mod problem;
mod reader;
mod render;
mod section;
mod tables;

pub use entry::{EntryBounds, EntrySettings, FleetLoadLimits};
pub use gateway::{ColdBounds, GatewayBounds, GatewaySettings, OrderBounds, RetryBounds};
pub use problem::{Problem, Problems};
pub use render::{render_pools, render_routes};
pub use tables::{EditedTables, read_edited_tables, read_tables};
