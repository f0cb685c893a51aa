//! Compression of texts sent between nodes.

use std::io::Read;
use std::io::Write;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::manifest::MAX_TEXT_BYTES;

/// Compresses a text with DEFLATE.
///
/// # Panics
///
/// Never panics: writing to memory can't fail.
///
/// # Example
///
/// ```
/// let text = "zone glasgow region=scotland  # ops\n".repeat(100);
/// let packed = celeryshore_rules::pack(text.as_bytes());
/// assert!(packed.len() < 200);
/// assert_eq!(celeryshore_rules::unpack(&packed)?, text);
/// # Ok::<(), celeryshore_rules::Error>(())
/// ```
#[must_use]
pub fn pack(text: &[u8]) -> Bytes {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    let written = encoder.write_all(text).and_then(|()| encoder.finish());
    written.expect("writing to memory does not fail").into()
}

/// Decompresses a text of at most [`MAX_TEXT_BYTES`].
///
/// # Errors
///
/// Fails if the bytes aren't a compressed text, or if the text is longer.
/// Decompression stops at the limit, so a small input can't exhaust memory.
pub fn unpack(packed: &[u8]) -> Result<Bytes> {
    let max_bytes = u64::try_from(MAX_TEXT_BYTES).unwrap_or(u64::MAX);
    let mut text = Vec::new();
    let mut decoder = DeflateDecoder::new(packed).take(max_bytes + 1);
    decoder
        .read_to_end(&mut text)
        .map_err(|_| Error::new(Category::Pack, "a compressed text"))?;
    if text.len() > MAX_TEXT_BYTES {
        return Err(Error::new(Category::Pack, "a text of at most 8 MiB"));
    }
    Ok(text.into())
}
