//! Decodes request paths and rejects ambiguous ones.
//!
//! Routes are chosen by path prefix. An upstream that normalises or decodes a
//! path further could resolve it to a path outside the prefix that was
//! authorised, so every path with more than one interpretation is rejected.

use derive_more::{Display, Error};

/// The reason why a path is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum PathError {
    /// The path does not start with a slash.
    #[display("a path starts with `/`")]
    Relative,
    /// A segment is empty, `.` or `..`, either literally or percent-encoded.
    #[display("a path has no segment that is empty, `.` or `..`")]
    Segment,
    /// The path has a forbidden character or an invalid percent escape.
    ///
    /// Forbidden are `;`, `\` and control characters in any form, and `/` and `%`
    /// as percent escapes.
    #[display("a path has no encoded separator, no `;`, `\\` or control character")]
    Separator,
}

/// Percent-decodes a path once and checks that it is unambiguous.
pub(crate) fn decode_path(path: &str) -> Result<String, PathError> {
    let Some(rest) = path.strip_prefix('/') else {
        return Err(PathError::Relative);
    };
    let mut decoded = decode(rest)?;
    let mut segments = decoded.split(|byte| *byte == b'/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        let is_ambiguous = match segment {
            b"" => !is_last,
            b"." | b".." => true,
            _ => false,
        };
        if is_ambiguous {
            return Err(PathError::Segment);
        }
    }
    decoded.insert(0, b'/');
    String::from_utf8(decoded).map_err(|_utf8| PathError::Separator)
}

/// Percent-decodes a path once and rejects characters that may act as separators.
fn decode(path: &str) -> Result<Vec<u8>, PathError> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut bytes = path.bytes();
    while let Some(byte) = bytes.next() {
        let value = match byte {
            b'%' => decode_escape(bytes.next(), bytes.next())?,
            other => other,
        };
        let is_separator = matches!(value, b'\\' | b';') || (byte == b'%' && value == b'/');
        if is_separator || value.is_ascii_control() || (byte == b'%' && value == b'%') {
            return Err(PathError::Separator);
        }
        decoded.push(value);
    }
    Ok(decoded)
}

fn decode_escape(high: Option<u8>, low: Option<u8>) -> Result<u8, PathError> {
    let digit = |byte: Option<u8>| {
        byte.and_then(|b| char::from(b).to_digit(16))
            .and_then(|d| u8::try_from(d).ok())
    };
    match (digit(high), digit(low)) {
        (Some(high), Some(low)) => Ok(high << 4 | low),
        _ => Err(PathError::Separator),
    }
}
