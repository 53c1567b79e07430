//! A slot of a proxy's state directory, in the format of build 02c3b0d.
//!
//! The format is the magic bytes `gstep\0\0\x01`, the value's length as `u64` and its CRC-32 (IEEE 802.3) as
//! `u32`, both big endian, and the value. This module does not use the program's own code, so that a change
//! of the format in the program fails the tests.

use std::path::Path;

const MAGIC: &[u8] = b"gstep\0\0\x01";
const LENGTH_BYTES: usize = 8;
const CHECKSUM_BYTES: usize = 4;
/// The polynomial of CRC-32 with its bits reversed.
const CRC32_POLYNOMIAL: u32 = 0xEDB8_8320;

/// Reads the value of a slot; magic bytes, length and checksum must match.
pub fn read(path: &Path) -> Vec<u8> {
    let bytes = std::fs::read(path).unwrap();
    let rest = bytes.strip_prefix(MAGIC).expect("the magic bytes of a slot");
    let (length, rest) = rest.split_first_chunk::<LENGTH_BYTES>().expect("a length");
    let (checksum, value) = rest.split_first_chunk::<CHECKSUM_BYTES>().expect("a checksum");
    assert_eq!(u64::from_be_bytes(*length), value.len() as u64, "{}", path.display());
    assert_eq!(u32::from_be_bytes(*checksum), crc32(value), "{}", path.display());
    value.to_vec()
}

fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(u32::MAX, |checksum, byte| {
        (0..u8::BITS).fold(checksum ^ u32::from(*byte), |value, _| {
            let shifted = value >> 1;
            if value & 1 == 1 { shifted ^ CRC32_POLYNOMIAL } else { shifted }
        })
    })
}
