//! Compresses large records that are sent between hosts.
//!
//! Load pattern: an operator changes the configuration, some 100 KB, and each of a hundred hosts
//! with slow links needs it at once from the same few hosts. So each version of a record is
//! compressed only once.

use std::io::{self, Read, Write};
use std::sync::Arc;

use eelgrasshill_domain::{FastMap, Offset};
use eelgrasshill_relay::{Era, KeyedRecord};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

/// Maximum size of a message, with room for a configuration of more than about a hundred routes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Size from which a record is compressed. Upstreams' entries are smaller, configurations larger.
const MIN_COMPRESSED_BYTES: usize = 8 << 10;

/// Era and offset of a record, with its compressed value.
type CompressedRecord = ((Era, Offset), Arc<[u8]>);

/// Cache of compressed records, with the newest version of each key.
#[derive(Debug, Default)]
pub(crate) struct RecordCompressor {
    compressed: FastMap<Arc<str>, CompressedRecord>,
}

impl RecordCompressor {
    /// Returns a record's value as it is sent, and whether it is compressed.
    ///
    /// `era` is that of the record's offset, which in another era may be that of another value.
    pub(crate) fn compress_record(&mut self, record: &KeyedRecord, era: Era) -> (Vec<u8>, bool) {
        if record.value.len() < MIN_COMPRESSED_BYTES {
            return (record.value.to_vec(), false);
        }
        let cached = self.compressed.get(&record.key);
        if let Some((_position, compressed)) =
            cached.filter(|(position, _compressed)| *position == (era, record.offset))
        {
            return (compressed.to_vec(), true);
        }
        match compress(&record.value) {
            Ok(compressed) => {
                let entry = ((era, record.offset), Arc::from(compressed.as_slice()));
                self.compressed.insert(Arc::clone(&record.key), entry);
                (compressed, true)
            }
            Err(error) => {
                log::warn!(
                    "peers: a record is sent uncompressed, compression failed, offset={}: {error}",
                    record.offset
                );
                (record.value.to_vec(), false)
            }
        }
    }
}

fn compress(value: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value)?;
    encoder.finish()
}

/// Decompresses a record's value.
///
/// # Errors
///
/// Returns an error if the data is invalid or the value exceeds [`MAX_MESSAGE_BYTES`].
pub(crate) fn decompress(compressed: &[u8]) -> io::Result<Vec<u8>> {
    let max_bytes = u64::try_from(MAX_MESSAGE_BYTES).unwrap_or(u64::MAX);
    let mut value = Vec::new();
    DeflateDecoder::new(compressed)
        .take(max_bytes + 1)
        .read_to_end(&mut value)?;
    if value.len() > MAX_MESSAGE_BYTES {
        return Err(io::Error::other(
            "the decompressed record exceeds the maximum message size",
        ));
    }
    Ok(value)
}
