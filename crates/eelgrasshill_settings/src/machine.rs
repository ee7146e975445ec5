//! The memory and descriptors of a host's machine, and the connections that fit in them.

use std::ops::RangeInclusive;

use eelgrasshill_domain::HostBudget;

use crate::reader::SectionReader;

const MEMORY_HINT: &str = "MB from 16, fractions allowed";
const DESCRIPTORS_HINT: &str = "a number from 64";
const CONNECTIONS_HINT: &str = "a number from 1 to 100000";

/// Smallest and largest memory of a machine, in MB.
const MEMORY_MB_RANGE: RangeInclusive<f64> = 16.0..=1_048_576.0;

/// Smallest and largest number of descriptors.
const DESCRIPTORS_RANGE: RangeInclusive<f64> = 64.0..=10_000_000.0;

/// What the settings say of a machine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Machine {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: Option<u64>,
}

impl Machine {
    /// Reads the fields of the section `[host]`.
    pub(crate) fn read(reader: &mut SectionReader<'_>, default_mb: u64) -> Self {
        let memory_mb = reader.quantity("memory-mb", MEMORY_HINT, MEMORY_MB_RANGE);
        let descriptors = reader.quantity("descriptors", DESCRIPTORS_HINT, DESCRIPTORS_RANGE);
        let machine = Self {
            memory_mb: memory_mb.map_or(default_mb, to_integer),
            descriptors: descriptors.map(to_integer),
        };
        let own_memory = HostBudget::new(machine.memory_mb, None);
        if let Err(cause) = own_memory.check(1) {
            reader.report_over_budget("memory-mb", &cause);
        } else if let Err(cause) = machine.budget().check(1) {
            reader.report_over_budget("descriptors", &cause);
        }
        machine
    }

    pub(crate) fn budget(self) -> HostBudget {
        HostBudget::new(self.memory_mb, self.descriptors)
    }
}

/// Reads the field `connections`, whose value must fit in the machine.
///
/// The default is as many as fit, up to the usual number.
pub(crate) fn read_connections(
    reader: &mut SectionReader<'_>,
    budget: HostBudget,
    usual: usize,
) -> usize {
    let default = budget.usual_connections(usual);
    let allowed = 1..=100_000;
    let asked = reader.number("connections", CONNECTIONS_HINT, allowed, default as u64);
    let connections = usize::try_from(asked).unwrap_or(usize::MAX);
    if connections <= default {
        return connections;
    }
    match budget.check(connections) {
        Ok(()) => connections,
        Err(cause) => {
            reader.report_over_budget("connections", &cause);
            default
        }
    }
}

/// Converts a number that is not negative, without its fraction.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the range of each value is checked, and the cast saturates"
)]
pub(crate) fn to_integer(number: f64) -> u64 {
    number as u64
}
