//! Macros for the derives that the domain types share.

/// Adds the common derives and serde attributes of records.
///
/// Unknown fields are rejected, so that a misspelt optional field is not ignored.
#[macro_export]
macro_rules! record {
    ($($item:item)+) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            #[serde(rename_all = "kebab-case", deny_unknown_fields)]
            $item
        )+
    };
}

/// Adds the common derives of small copyable structs and enums.
///
/// Their values can be ordered and hashed.
#[macro_export]
macro_rules! scalar {
    ($($item:item)+) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(rename_all = "kebab-case")]
            $item
        )+
    };
}
