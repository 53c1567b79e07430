//! Parsing of what databases send: incomplete, complete and malformed messages.

use gaugestep_dispatch::interface::ProgressReport;

use super::{Message, MessageError, MessageKind};
use crate::termination::Termination;

fn parse(input: &[u8]) -> Result<Option<Message<'_>>, MessageError> {
    Message::parse(input)
}

fn message(input: &str) -> Message<'_> {
    parse(input.as_bytes()).unwrap().unwrap()
}

fn error(input: &[u8]) -> MessageError {
    parse(input).err().unwrap()
}

#[test]
fn a_message_is_parsed_once_it_is_complete() {
    let input = b"7f HIT total=2,elapsed=5 6\r\na\tb\tc\n\r\n";
    for length in 0..input.len() {
        assert!(parse(&input[..length]).unwrap().is_none(), "{length} bytes");
    }
    let with_next = [&input[..], b"7f PART"].concat();
    let message = parse(&with_next).unwrap().unwrap();
    assert_eq!((message.id, message.kind, message.length), ("7f", MessageKind::FirstPage, input.len()));
    assert_eq!(message.page_count(), Ok(Some(2)));
    assert_eq!(message.page().unwrap(), b"a\tb\tc\n");
    let cost = message.cost().unwrap();
    assert_eq!((cost.work, cost.memory_mb), (5.0, 0.0));
    assert!(message.load().is_none());
}

#[test]
fn every_word_of_the_protocol_has_a_kind() {
    for (word, kind) in [
        ("PONG", MessageKind::Pong),
        ("INFO", MessageKind::Progress),
        ("HIT", MessageKind::FirstPage),
        ("PART", MessageKind::Page),
        ("SHED", MessageKind::Shed),
        ("LATE", MessageKind::Late),
        ("FAULT", MessageKind::Fault),
        ("hit", MessageKind::Unknown),
    ] {
        assert_eq!(message(&format!("1 {word} - 0\r\n\r\n")).kind, kind, "{word}");
    }
}

#[test]
fn malformed_messages_are_errors() {
    assert_eq!(error(b"1 HIT total=1\r\n"), MessageError::WordCount);
    assert_eq!(error(b"1 HIT total=1 0 0\r\n"), MessageError::WordCount);
    assert_eq!(error(b"1 HIT total=1 x\r\n"), MessageError::MalformedNumber);
    assert_eq!(error(b"1 HIT total=1 -1\r\n"), MessageError::MalformedNumber);
    assert_eq!(error(b"1 HIT total=1 6001\r\n"), MessageError::BodyTooLong);
    assert_eq!(error(b"1 HIT total=1 2\r\nabcd\r\n"), MessageError::BodyEnd);
    assert_eq!(error(b"\xff HIT total=1 0\r\n\r\n"), MessageError::NotUtf8);
    assert_eq!(error(&[b'x'; 4097]), MessageError::LineTooLong);
    assert!(parse(&[b'x'; 4096]).unwrap().is_none());
    assert_eq!(Termination::from(MessageError::BodyEnd), Termination::Garbled);
}

#[test]
fn a_page_consists_of_complete_rows_of_printable_text() {
    for (body, is_page) in [
        ("", true),
        ("a\tb\tc\n", true),
        ("a\tb\tc\nd\te\tf\n", true),
        ("\t\t\n", true),
        ("a\tb\tc", false),
        ("a\tb\n", false),
        ("a\tb\tc\td\n", false),
        ("a\tb\t\u{7}\n", false),
    ] {
        let input = format!("1 PART index=1 {}\r\n{body}\r\n", body.len());
        assert_eq!(message(&input).page().is_ok(), is_page, "{body:?}");
    }
    let not_utf8 = b"1 PART index=1 1\r\n\xff\r\n";
    assert_eq!(parse(not_utf8).unwrap().unwrap().page(), Err(MessageError::NotUtf8));
}

#[test]
fn whole_numbers_are_checked_and_figures_out_of_range_ignored() {
    assert_eq!(message("1 HIT - 0\r\n\r\n").page_count(), Ok(None));
    assert_eq!(message("1 HIT total=x 0\r\n\r\n").page_count(), Err(MessageError::MalformedNumber));
    assert_eq!(message("1 PART total=1 0\r\n\r\n").page_index(), Err(MessageError::MalformedNumber));
    for figure in ["-1", "nan", "inf", "1e10", "x", ""] {
        let input = format!("1 HIT elapsed={figure},use=rif:{figure};q:2;other:3 0\r\n\r\n");
        assert!(message(&input).cost().is_none(), "{figure}");
        let load = message(&input).load().unwrap();
        assert_eq!((load.in_flight, load.queued), (None, Some(2.0)), "{figure}");
    }
}

#[test]
fn progress_reports_are_told_apart() {
    let report = |fields: &str| message(&format!("1 INFO {fields} 0\r\n\r\n")).progress_report();
    assert_eq!(report("detail=done,datum=0.5"), Some(ProgressReport::Done(0.5)));
    assert_eq!(report("detail=spills,datum=3"), Some(ProgressReport::Spills(3.0)));
    assert_eq!(report("detail=waits,datum=2"), Some(ProgressReport::WaitsForLoad));
    assert_eq!(report("detail=waits,datum=1"), Some(ProgressReport::WaitsForMemory));
    assert_eq!(report("detail=other"), None);
    assert_eq!(report("datum=1"), None);
}
