//! Tests the parsing of response heads and the decoding of chunked bodies.

use super::{BodyDecoder, BodyState, ResponseError, ResponseHead};

const CHUNKED: ResponseHead = ResponseHead { length: 0, is_chunked: true };

#[test]
fn a_head_is_parsed_once_it_is_complete() {
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, Chunked\r\n\r\n";
    for length in 0..head.len() {
        assert!(ResponseHead::parse(&head[..length]).unwrap().is_none(), "{length} bytes");
    }
    let expected = ResponseHead { length: head.len(), is_chunked: true };
    assert_eq!(ResponseHead::parse(head).unwrap(), Some(expected));
    let plain = ResponseHead::parse(b"HTTP/1.1 200 OK\r\n\r\nbody").unwrap();
    assert_eq!(plain, Some(ResponseHead { length: 19, is_chunked: false }));
}

#[test]
fn malformed_and_oversized_heads_and_other_statuses_are_errors() {
    let error = |head: &[u8]| ResponseHead::parse(head).unwrap_err();
    assert!(matches!(error(b"HTTP/1.1 503 Busy\r\n\r\n"), ResponseError::Status(503)));
    assert!(matches!(error(b"SMTP\r\n\r\n"), ResponseError::MalformedHead(_)));
    let endless = [&b"HTTP/1.1 200 OK\r\nA: "[..], &vec![b'x'; 17 * 1024]].concat();
    assert!(matches!(error(&endless), ResponseError::HeadTooLong));
}

#[test]
fn a_chunked_body_is_decoded_wherever_the_input_is_split() {
    let body = b"5\r\nhello\r\n7;x=y\r\n, world\r\n0\r\n\r\n";
    for length in 1..body.len() {
        let (mut decoder, mut input, mut text) = (BodyDecoder::new(CHUNKED), Vec::new(), Vec::new());
        let mut state = BodyState::Open;
        for part in body.chunks(length) {
            input.extend_from_slice(part);
            if state == BodyState::Open {
                state = decoder.decode(&mut input, &mut text).unwrap();
            }
        }
        assert_eq!(
            (state, &text[..]),
            (BodyState::Ended, &b"hello, world"[..]),
            "in parts of {length} bytes"
        );
    }
}

#[test]
fn malformed_and_oversized_chunks_are_errors() {
    for chunk in ["x\r\n", "400001\r\n", "fffffffffffffffff\r\n"] {
        let mut decoder = BodyDecoder::new(CHUNKED);
        let result = decoder.decode(&mut chunk.as_bytes().to_vec(), &mut Vec::new());
        assert!(matches!(result, Err(ResponseError::MalformedChunk)), "{chunk}");
    }
}

#[test]
fn a_plain_body_is_passed_through() {
    let (mut input, mut text) = (b"abc".to_vec(), Vec::new());
    let mut decoder = BodyDecoder::new(ResponseHead { length: 0, is_chunked: false });
    assert_eq!(decoder.decode(&mut input, &mut text).unwrap(), BodyState::Open);
    assert_eq!((&input[..], &text[..]), (&b""[..], &b"abc"[..]));
}
