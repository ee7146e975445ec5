//! Renders the two tables as INI, which operators can edit and publish again.

use std::fmt::{self, Write};

use eelgrasshill_domain::{
    Caller, Fencing, Host, Model, OnStale, PoolKind, Repeat, Route, Tables, Target, Version,
};

/// Renders the routes table as INI, marked as edited from version `base_version`.
#[must_use]
pub fn render_routes(tables: &Tables, base_version: Version) -> String {
    render_with(|out| {
        write_edit_section(out, base_version)?;
        for (name, organisation) in &tables.organisations {
            writeln!(out, "[organisation.{name}]")?;
            writeln!(
                out,
                "rate = {}\nburst = {}\nweight = {}\n",
                organisation.rate, organisation.burst, organisation.weight
            )?;
        }
        for (name, route) in &tables.routes {
            writeln!(out, "[route.{name}]")?;
            write_route(out, route)?;
        }
        Ok(())
    })
}

/// Renders the pools table as INI, marked as edited from version `base_version`.
#[must_use]
pub fn render_pools(tables: &Tables, base_version: Version) -> String {
    render_with(|out| {
        write_edit_section(out, base_version)?;
        for (name, pool) in &tables.pools {
            let kind = match pool.kind {
                PoolKind::Engines => "engines",
                PoolKind::Plain => "plain",
            };
            writeln!(out, "[pool.{name}]\nkind = {kind}\n")?;
        }
        for (name, host) in &tables.hosts {
            writeln!(out, "[host.{name}]")?;
            write_host(out, host)?;
        }
        for (name, model) in &tables.models {
            writeln!(out, "[model.{name}]")?;
            write_model(out, model)?;
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

fn write_edit_section(out: &mut String, base_version: Version) -> fmt::Result {
    writeln!(out, "[edit]\nfrom = {base_version}\n")
}

fn write_route(out: &mut String, route: &Route) -> fmt::Result {
    match &route.caller {
        Caller::Open => writeln!(out, "caller = open")?,
        Caller::Organisation(name) => writeln!(out, "caller = {name}")?,
    }
    match &route.target {
        Target::Models(models) => writeln!(out, "models = {}", join_names(models))?,
        Target::Path(path) => writeln!(out, "path = {path}")?,
    }
    let repeat = match route.repeat {
        Repeat::Allowed => "yes",
        Repeat::Never => "no",
    };
    writeln!(
        out,
        "pool = {}\nclass = {}\nrepeat = {repeat}",
        route.pool, route.class
    )?;
    // A number is the maximum age of the tables, in seconds; beyond it requests are refused.
    match route.on_stale {
        OnStale::Serve => writeln!(out, "on-stale = serve\n"),
        OnStale::Refuse(seconds) => writeln!(out, "on-stale = {seconds}\n"),
    }
}

fn write_host(out: &mut String, host: &Host) -> fmt::Result {
    let fencing = match host.fencing {
        Fencing::Checked => "checked",
        Fencing::Ignored => "ignored",
    };
    writeln!(
        out,
        "pool = {}\nzone = {}\naddress = {}",
        host.pool, host.zone, host.address
    )?;
    writeln!(
        out,
        "memory-mb = {}\naccelerators = {}",
        host.memory_mb, host.accelerators
    )?;
    writeln!(out, "fencing = {fencing}\n")
}

fn write_model(out: &mut String, model: &Model) -> fmt::Result {
    writeln!(
        out,
        "pool = {}\nmemory-mb = {}\nversion = {}",
        model.pool, model.memory_mb, model.version
    )?;
    if !model.adapters.is_empty() {
        writeln!(out, "adapters = {}", join_names(&model.adapters))?;
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
