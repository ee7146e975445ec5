//! What is wrong with a file, in words that say how to mend it.

use derive_more::{Display, Error};

/// One mistake in a file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Problem {
    /// The file is not there or can't be read.
    #[display("{file}: {cause}")]
    Unreadable {
        /// The file.
        file: String,
        /// What the system said.
        cause: String,
    },
    /// The file is not INI.
    #[display("{file}: this is not an INI file: {cause}")]
    Syntax {
        /// The file.
        file: String,
        /// What the reader said.
        cause: String,
    },
    /// A section has a name that means nothing here.
    #[display("{file}: [{section}] is not known; allowed are {allowed}")]
    Section {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// What may stand there.
        allowed: &'static str,
    },
    /// A field that must be there is not.
    #[display("{file}: [{section}] {field} is missing; give {allowed}")]
    Missing {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The field.
        field: String,
        /// What may stand there.
        allowed: &'static str,
    },
    /// A field has a value that is not allowed.
    #[display("{file}: [{section}] {field} = {value} is not allowed; give {allowed}")]
    Value {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The field.
        field: String,
        /// What stands there.
        value: String,
        /// What may stand there.
        allowed: &'static str,
    },
    /// A field has a name that means nothing here.
    #[display("{file}: [{section}] {field} is not known; remove it or correct its name")]
    Unknown {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The field.
        field: String,
    },
    /// A name leads to no row of the two tables.
    #[display(
        "{file}: [{section}] names [{missing}], which is in neither table; add it or change the name"
    )]
    Join {
        /// The file.
        file: String,
        /// The section.
        section: String,
        /// The missing section.
        missing: String,
    },
}

/// Every mistake of one or two files.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{}", list.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct Problems {
    /// The mistakes, in the order of the file.
    pub list: Vec<Problem>,
}
