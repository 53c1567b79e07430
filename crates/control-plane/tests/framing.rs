//! Encoding and decoding of length-prefixed messages.

use gaugestep_config::schema::Hello;
use gaugestep_control_plane::transport::framing::{Frame, FrameBuffer, FrameError, encode, split_first};
use prost::Message as _;

fn hello() -> Hello {
    Hello { proxy: "n0".into(), ..Hello::default() }
}

#[test]
fn a_message_is_returned_only_once_it_is_complete() {
    let mut bytes = encode(&hello());
    for end in 0..bytes.len() {
        assert_eq!(split_first(&bytes[..end]), Ok(None));
    }
    let length = bytes.len();
    bytes.extend_from_slice(b"more");
    let frame = split_first(&bytes).unwrap().unwrap();
    assert_eq!(frame, Frame { body: &hello().encode_to_vec(), length });
    assert_eq!(Hello::decode(frame.body).unwrap(), hello());
}

#[test]
fn a_length_above_the_limit_is_rejected_before_the_body_arrives() {
    assert_eq!(split_first(&u32::MAX.to_be_bytes()), Err(FrameError::TooLong(u32::MAX as usize)));
}

#[test]
fn a_buffer_yields_messages_in_order_and_keeps_an_incomplete_one() {
    let mut buffer = FrameBuffer::default();
    let second = Hello { proxy: "n1".into(), ..Hello::default() };
    let (first_bytes, second_bytes) = (encode(&hello()), encode(&second));
    let (start, rest) = second_bytes.split_at(3);
    buffer.buffer_mut().extend_from_slice(&first_bytes);
    buffer.buffer_mut().extend_from_slice(start);
    assert_eq!(buffer.next_message(), Ok(Some(hello())));
    assert_eq!(buffer.next_message::<Hello>(), Ok(None));
    buffer.buffer_mut().extend_from_slice(rest);
    assert_eq!(buffer.next_message(), Ok(Some(second)));
    assert_eq!(buffer.next_message::<Hello>(), Ok(None));
}
