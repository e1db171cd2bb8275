//! Digests of callers' keys.
//!
//! A key is `chk_` followed by 40 lower-case hexadecimal digits. The fixed
//! format lets a host detect a key anywhere in a request. Only the SHA-256
//! digest is stored and sent between hosts.

use std::fmt;
use std::str::FromStr;

use sha2::Digest;
use sha2::Sha256;

use crate::ConfigError;

/// Prefix of every key.
pub const KEY_PREFIX: &str = "chk_";

/// Length of a key in bytes, including the prefix.
pub const KEY_LENGTH: usize = KEY_PREFIX.len() + 40;

/// Length of a digest in bytes.
const DIGEST_LENGTH: usize = 32;

/// SHA-256 digest of a caller's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(pub [u8; DIGEST_LENGTH]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = ConfigError;

    fn from_str(text: &str) -> Result<Self, ConfigError> {
        let malformed = || ConfigError::MalformedDigest {
            digest: text.into(),
        };
        if text.len() != DIGEST_LENGTH * 2 || !text.is_ascii() {
            return Err(malformed());
        }
        let mut digest = [0; DIGEST_LENGTH];
        for (index, byte) in digest.iter_mut().enumerate() {
            let hex = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(hex, 16).map_err(|_| malformed())?;
        }
        Ok(KeyDigest(digest))
    }
}
