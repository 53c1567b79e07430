//! Tests the parsing of server-sent events.

use super::{EventParser, MAX_EVENT_LENGTH, StreamEvent};

fn parse(parser: &mut EventParser, text: &[u8]) -> Vec<StreamEvent> {
    parser.buffer().extend_from_slice(text);
    std::iter::from_fn(|| parser.next_event()).collect()
}

fn event(id: Option<u64>, data: &str) -> StreamEvent {
    StreamEvent { id, data: data.into() }
}

#[test]
fn events_are_parsed_wherever_the_stream_is_split() {
    let text = b": comment\nid: 7\r\ndata: {\"a\":\r\ndata:1}\r\n\r\n\nevent: x\nid: x\ndata: b\n\ndata: c";
    let expected = vec![event(Some(7), "{\"a\":\n1}"), event(None, "b")];
    for length in 1..text.len() {
        let mut parser = EventParser::default();
        let events: Vec<_> = text.chunks(length).flat_map(|part| parse(&mut parser, part)).collect();
        assert_eq!(events, expected, "in parts of {length} bytes");
    }
}

#[test]
fn an_event_without_data_is_discarded_with_its_id() {
    let mut parser = EventParser::default();
    assert_eq!(parse(&mut parser, b"id: 3\n\ndata: a\n\n"), vec![event(None, "a")]);
}

#[test]
fn an_oversized_event_is_an_error() {
    let mut parser = EventParser::default();
    let line = [b"data: ", &vec![b'x'; MAX_EVENT_LENGTH / 2][..], b"\n"].concat();
    assert!(parse(&mut parser, &line).is_empty());
    assert!(parser.check_length(MAX_EVENT_LENGTH).is_ok());
    assert!(parse(&mut parser, &line).is_empty());
    assert!(parser.check_length(MAX_EVENT_LENGTH).is_err());
}
