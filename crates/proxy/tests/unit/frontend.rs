//! Parsing of incomplete, complete and malformed client messages.

use super::{CancelKey, Message, StartupMessage, parse, parse_startup};
use crate::downstream::postgres::error::FatalError;

const MAX_LENGTH: usize = 100;

fn startup(words: &[u32], rest: &[u8]) -> Vec<u8> {
    let mut body: Vec<u8> = words.iter().flat_map(|word| word.to_be_bytes()).collect();
    body.extend_from_slice(rest);
    let length = body.len() as u32 + 4;
    [&length.to_be_bytes()[..], &body].concat()
}

fn message(kind: u8, length: u32, body: &[u8]) -> Vec<u8> {
    [&[kind][..], &length.to_be_bytes(), body].concat()
}

#[test]
fn startup_messages_are_parsed_once_complete() {
    let session = startup(&[3 << 16], b"user\0me\0\0");
    for length in 0..session.len() {
        assert_eq!(parse_startup(&session[..length]), Ok(None), "{length} bytes");
    }
    assert_eq!(parse_startup(&session), Ok(Some((StartupMessage::Session, session.len()))));
    for code in [80_877_103, 80_877_104] {
        assert_eq!(parse_startup(&startup(&[code], b"")), Ok(Some((StartupMessage::Encryption, 8))));
    }
    let key = CancelKey { process_id: 5, secret_key: 6 };
    let cancel = startup(&[80_877_102, 5, 6], b"");
    assert_eq!(parse_startup(&cancel), Ok(Some((StartupMessage::Cancel(key), 16))));
}

#[test]
fn malformed_startup_messages_are_rejected() {
    let cases: [(Vec<u8>, FatalError, &str); 5] = [
        (7u32.to_be_bytes().to_vec(), FatalError::InvalidStartupLength, "08P01"),
        (10_001u32.to_be_bytes().to_vec(), FatalError::InvalidStartupLength, "08P01"),
        (startup(&[80_877_102, 5], b""), FatalError::MalformedCancelRequest, "08P01"),
        (startup(&[3 << 16], b"user"), FatalError::MalformedStartup, "08P01"),
        (startup(&[2 << 16], b"\0"), FatalError::UnsupportedProtocol, "0A000"),
    ];
    for (input, error, code) in cases {
        assert_eq!(parse_startup(&input), Err(error));
        assert_eq!(error.sql_state().code(), code);
    }
}

#[test]
fn messages_are_slices_of_the_input() {
    let input = [message(b'Q', 7, b"ab\0"), b"more".to_vec()].concat();
    assert_eq!(parse(&input, MAX_LENGTH), Ok(Some(Message { kind: b'Q', body: b"ab\0", length: 8 })));
    for length in 0..8 {
        assert_eq!(parse(&input[..length], MAX_LENGTH), Ok(None), "{length} bytes");
    }
}

#[test]
fn a_message_of_invalid_length_is_rejected_once_its_length_is_read() {
    assert_eq!(parse(&message(b'Q', 3, b""), MAX_LENGTH), Err(FatalError::InvalidMessageLength));
    assert_eq!(parse(&message(b'Q', 101, b""), MAX_LENGTH), Err(FatalError::MessageTooLong));
    assert_eq!(parse(&message(b'Q', 100, b""), MAX_LENGTH), Ok(None));
    assert_eq!(FatalError::MessageTooLong.sql_state().code(), "54000");
}
