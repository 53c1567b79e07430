//! Tests of the messages between the two processes of an upgrade.

use super::{MAX_LINE_LENGTH, Message};
use crate::downstream::postgres::CancelKey;

#[test]
fn each_message_is_parsed_as_it_was_encoded_and_anything_else_is_rejected() {
    let messages = [
        Message::Claim { sequence: u64::MAX, id: "9b1f03aa5c7e2d41".into() },
        Message::Answer { sequence: 7, is_granted: true },
        Message::Answer { sequence: 8, is_granted: false },
        Message::Cancel(CancelKey { process_id: 3, secret_key: u32::MAX }),
    ];
    for message in messages {
        let mut line = Vec::new();
        message.encode(&mut line);
        assert!(line.len() <= MAX_LINE_LENGTH);
        assert_eq!(line.pop(), Some(b'\n'));
        assert_eq!(Message::parse(&line), Ok(message));
    }
    for line in ["", "claim 1", "claim x y", "granted", "cancel 1 4294967296", "cancel 1 2 3", "\u{e9}"] {
        assert!(Message::parse(line.as_bytes()).is_err(), "{line}");
    }
    assert!(Message::parse(&[0xff]).is_err());
}
