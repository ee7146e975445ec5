//! Mistakes in settings files and tables, with messages that say how to correct them.

use derive_more::{Display, Error};
use eelgrasshill_domain::BudgetError;

/// One mistake in a file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Problem {
    /// The file is missing or unreadable.
    #[display("{file}: {cause}")]
    Unreadable {
        /// The path of the file.
        file: String,
        /// The error message of the operating system.
        cause: String,
    },
    /// The file is not valid INI.
    #[display("{file}: this is not an INI file: {cause}")]
    InvalidSyntax {
        /// The path of the file.
        file: String,
        /// The error message of the INI parser.
        cause: String,
    },
    /// The name of a section is unknown.
    #[display("{file}: [{section}] is not known; allowed are {allowed}")]
    UnknownSection {
        /// The path of the file.
        file: String,
        /// The name of the section.
        section: String,
        /// The allowed sections.
        allowed: &'static str,
    },
    /// A required field is missing.
    #[display("{file}: [{section}] {field} is missing; give {allowed}")]
    MissingField {
        /// The path of the file.
        file: String,
        /// The name of the section.
        section: String,
        /// The name of the field.
        field: String,
        /// The allowed values.
        allowed: &'static str,
    },
    /// The value of a field is not allowed.
    #[display("{file}: [{section}] {field} = {value} is not allowed; give {allowed}")]
    InvalidValue {
        /// The path of the file.
        file: String,
        /// The name of the section.
        section: String,
        /// The name of the field.
        field: String,
        /// The value that was found.
        value: String,
        /// The allowed values.
        allowed: &'static str,
    },
    /// The parts of the host do not fit in its machine with the value of a field.
    #[display(
        "{file}: [{section}] {field} does not fit in the machine: {cause}; lower it, or raise `memory-mb` or `descriptors` where the machine has more"
    )]
    OverBudget {
        /// The path of the file.
        file: String,
        /// The name of the section.
        section: String,
        /// The name of the field.
        field: String,
        /// The sum that does not fit.
        #[error(source)]
        cause: BudgetError,
    },
    /// The name of a field is unknown.
    #[display("{file}: [{section}] {field} is not known; remove it or correct its name")]
    UnknownField {
        /// The path of the file.
        file: String,
        /// The name of the section.
        section: String,
        /// The name of the field.
        field: String,
    },
    /// A section refers to a section that neither table contains.
    #[display(
        "{file}: [{section}] names [{missing}], which is in neither table; add it or change the name"
    )]
    MissingReference {
        /// The path of the file.
        file: String,
        /// The name of the section.
        section: String,
        /// The name of the section that is missing.
        missing: String,
    },
}

/// All mistakes in one file or in a pair of tables.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems {
    /// The mistakes, in the order in which they were found.
    pub problems: Vec<Problem>,
}
