//! A short form of a store's file, as the embedded database fills most of its file with repeated bytes.
//!
//! The format is the file's length, then each block that differs from the block before it, as its index and
//! its bytes. The first block is compared with a block of zeros. Numbers are big-endian `u64`.

use std::path::Path;

/// Bytes in a block; the length of a file is a multiple of it.
const BLOCK_BYTES: usize = 64;
/// Bytes in a number.
const NUMBER_BYTES: usize = 8;

/// Writes the file `from` in the short form to `to`.
pub fn compact(from: &Path, to: &Path) {
    let content = std::fs::read(from).unwrap();
    let mut out = (content.len() as u64).to_be_bytes().to_vec();
    let mut previous = &[0; BLOCK_BYTES][..];
    for (index, block) in content.chunks(BLOCK_BYTES).enumerate() {
        if block != previous {
            out.extend((index as u64).to_be_bytes());
            out.extend(block);
        }
        previous = block;
    }
    std::fs::write(to, out).unwrap();
    assert_eq!(expand(to), content);
}

/// Restores the file that [`compact`] wrote to `from`, byte for byte, as `to`.
pub fn restore(from: &Path, to: &Path) {
    std::fs::write(to, expand(from)).unwrap();
}

fn expand(path: &Path) -> Vec<u8> {
    let short = std::fs::read(path).unwrap();
    let (length, mut rest) = split_number(&short);
    let mut content = Vec::with_capacity(length);
    let mut block = &[0; BLOCK_BYTES][..];
    while !rest.is_empty() {
        let (index, after) = split_number(rest);
        repeat(block, index * BLOCK_BYTES, &mut content);
        (block, rest) = after.split_at(BLOCK_BYTES);
    }
    repeat(block, length, &mut content);
    content
}

/// Appends the block to the content repeatedly up to this length.
fn repeat(block: &[u8], length: usize, content: &mut Vec<u8>) {
    while content.len() < length {
        content.extend(block);
    }
}

fn split_number(bytes: &[u8]) -> (usize, &[u8]) {
    let (number, rest) = bytes.split_first_chunk::<NUMBER_BYTES>().expect("the file is complete");
    (u64::from_be_bytes(*number) as usize, rest)
}
