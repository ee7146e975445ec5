//! Macros for the derives that the domain types have in common.

/// Adds the derives and the serde attributes that plain records share.
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

/// Adds the derives of small copyable values that can be ordered and hashed.
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
