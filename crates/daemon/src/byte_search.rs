//! Substring search in bytes.

/// Whether `text` contains `part`.
pub(crate) fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}
