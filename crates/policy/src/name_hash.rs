//! Hashes that stand for names in datagrams between hosts.

use xxhash_rust::xxh3::xxh3_64;

/// Hash of `name` as used in datagrams between hosts.
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
