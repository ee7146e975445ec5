//! Renders the two tables as INI, which operators can edit and publish again.

use std::fmt::{self, Write};

use eelgrasshill_domain::{
    Caller, Fencing, Host, Model, OnStale, PoolKind, Repeat, Route, Tables, Target, Version,
};

/// Renders the routes table as INI, marked as edited from version `from`.
#[must_use]
pub fn render_routes(tables: &Tables, from: Version) -> String {
    render_with(|out| {
        write_edit_section(out, from)?;
        for (name, row) in &tables.organisations {
            writeln!(out, "[organisation.{name}]")?;
            writeln!(
                out,
                "rate = {}\nburst = {}\nweight = {}\n",
                row.rate, row.burst, row.weight
            )?;
        }
        for (name, row) in &tables.routes {
            writeln!(out, "[route.{name}]")?;
            write_route(out, row)?;
        }
        Ok(())
    })
}

/// Renders the pools table as INI, marked as edited from version `from`.
#[must_use]
pub fn render_pools(tables: &Tables, from: Version) -> String {
    render_with(|out| {
        write_edit_section(out, from)?;
        for (name, row) in &tables.pools {
            let kind = match row.kind {
                PoolKind::Engines => "engines",
                PoolKind::Plain => "plain",
            };
            writeln!(out, "[pool.{name}]\nkind = {kind}\n")?;
        }
        for (name, row) in &tables.hosts {
            writeln!(out, "[host.{name}]")?;
            write_host(out, row)?;
        }
        for (name, row) in &tables.models {
            writeln!(out, "[model.{name}]")?;
            write_model(out, row)?;
        }
        Ok(())
    })
}

fn render_with(write: impl FnOnce(&mut String) -> fmt::Result) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _infallible = write(&mut text);
    text
}

fn write_edit_section(out: &mut String, from: Version) -> fmt::Result {
    writeln!(out, "[edit]\nfrom = {from}\n")
}

fn write_route(out: &mut String, row: &Route) -> fmt::Result {
    match &row.caller {
        Caller::Open => writeln!(out, "caller = open")?,
        Caller::Organisation(name) => writeln!(out, "caller = {name}")?,
    }
    match &row.target {
        Target::Models(models) => writeln!(out, "models = {}", join_names(models))?,
        Target::Path(path) => writeln!(out, "path = {path}")?,
    }
    let repeat = match row.repeat {
        Repeat::Allowed => "yes",
        Repeat::Never => "no",
    };
    writeln!(
        out,
        "pool = {}\nclass = {}\nrepeat = {repeat}",
        row.pool, row.class
    )?;
    match row.on_stale {
        OnStale::Serve => writeln!(out, "on-stale = serve\n"),
        OnStale::Refuse(seconds) => writeln!(out, "on-stale = {seconds}\n"),
    }
}

fn write_host(out: &mut String, row: &Host) -> fmt::Result {
    let fencing = match row.fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    };
    writeln!(
        out,
        "pool = {}\nzone = {}\naddress = {}",
        row.pool, row.zone, row.address
    )?;
    writeln!(
        out,
        "memory-mb = {}\naccelerators = {}",
        row.memory_mb, row.accelerators
    )?;
    writeln!(out, "fencing = {fencing}\n")
}

fn write_model(out: &mut String, row: &Model) -> fmt::Result {
    writeln!(
        out,
        "pool = {}\nmemory-mb = {}\nversion = {}",
        row.pool, row.memory_mb, row.version
    )?;
    if !row.adapters.is_empty() {
        writeln!(out, "adapters = {}", join_names(&row.adapters))?;
    }
    writeln!(out)
}

fn join_names<T: ToString>(names: &[T]) -> String {
    names
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}
