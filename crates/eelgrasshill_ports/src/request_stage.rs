//! Where a connection is within its requests, byte by byte.

/// Bytes of the line end after the data of a chunk.
const CHUNK_END_BYTES: u64 = 2;

/// How the end of a request's body is found.
#[derive(Clone, Copy, Debug)]
pub enum BodyFraming {
    /// The body has that many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    Unbounded,
}

/// What the next byte of a connection belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stage {
    /// The head of a request.
    Head {
        /// Whether a byte of the head has passed that is not a line end.
        has_begun: bool,
        /// Whether the line has no byte yet, except for a carriage return.
        is_blank: bool,
    },
    /// A complete head with that many bytes left.
    CompleteHead(u64),
    /// The next body or head, once the server has decoded the head that has passed.
    Decoding,
    /// A body with that many bytes left.
    Sized(u64),
    /// The size of a chunk, with the value of its digits so far.
    ChunkSize(u64),
    /// The rest of the line after the size of a chunk.
    ChunkExtension(u64),
    /// The data of a chunk and its line end, with that many bytes left.
    ChunkData(u64),
    /// The lines after the last chunk.
    Trailer {
        /// Whether the line has no byte yet, except for a carriage return.
        is_blank: bool,
    },
    /// A body that ends with the connection.
    Unbounded,
}

impl Stage {
    pub(crate) const HEAD: Self = Self::Head {
        has_begun: false,
        is_blank: true,
    };

    /// Returns the stage after a byte.
    pub(crate) fn after(self, byte: u8) -> Self {
        match (self, byte) {
            (
                Self::Head {
                    has_begun: true,
                    is_blank: true,
                },
                b'\n',
            ) => Self::Decoding,
            (Self::Head { has_begun, .. }, b'\n') => Self::Head {
                has_begun,
                is_blank: true,
            },
            (Self::Trailer { is_blank: true }, b'\n') => Self::HEAD,
            (Self::Trailer { .. }, b'\n') => Self::Trailer { is_blank: true },
            (Self::Head { .. } | Self::Trailer { .. }, b'\r') | (Self::Decoding, _) => self,
            (Self::Head { .. }, _) => Self::Head {
                has_begun: true,
                is_blank: false,
            },
            (Self::Trailer { .. }, _) => Self::Trailer { is_blank: false },
            (Self::ChunkSize(0) | Self::ChunkExtension(0), b'\n') => {
                Self::Trailer { is_blank: true }
            }
            (Self::ChunkSize(size) | Self::ChunkExtension(size), b'\n') => {
                Self::ChunkData(size.saturating_add(CHUNK_END_BYTES))
            }
            // The server ends a connection with a size that is no number.
            (Self::ChunkSize(size), _) => match char::from(byte).to_digit(16) {
                Some(digit) => {
                    Self::ChunkSize(size.saturating_mul(16).saturating_add(digit.into()))
                }
                None => Self::ChunkExtension(size),
            },
            (Self::ChunkExtension(_) | Self::Unbounded, _) => self,
            (Self::CompleteHead(_) | Self::Sized(_) | Self::ChunkData(_), _) => self.after_data(1),
        }
    }

    /// Returns the stage after bytes of a head or a body's data, which are no more than are left.
    pub(crate) fn after_data(self, count: u64) -> Self {
        match self {
            Self::CompleteHead(left) if left > count => Self::CompleteHead(left - count),
            Self::CompleteHead(_) => Self::Decoding,
            Self::Sized(left) if left > count => Self::Sized(left - count),
            Self::Sized(_) => Self::HEAD,
            Self::ChunkData(left) if left > count => Self::ChunkData(left - count),
            Self::ChunkData(_) => Self::ChunkSize(0),
            other => other,
        }
    }

    /// Returns how many bytes may pass without a look at them.
    pub(crate) fn data_left(self) -> u64 {
        match self {
            Self::CompleteHead(left) | Self::Sized(left) | Self::ChunkData(left) => left,
            Self::Unbounded => u64::MAX,
            _ => 0,
        }
    }
}
