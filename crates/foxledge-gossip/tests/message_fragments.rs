//! Splitting and reassembly of messages that exceed a datagram.

use std::net::{Ipv4Addr, SocketAddrV4};

use foxledge_core::time::ClockTime;
use foxledge_gossip::{
    FleetMessage, MAX_MESSAGE_BYTES, MessageFragment,
    fragments::{
        FragmentBuffer, INCOMPLETE_TTL_MS, InvalidFragment, LostMessage, MAX_BUFFERED_BYTES,
        MAX_SPLIT_BYTES, split_message,
    },
};
use proptest::prelude::*;
use prost::Message;

const SENDER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 9, 9, 9), 9_999);

fn clock_at(millis: u64) -> ClockTime {
    ClockTime::from_micros(3_600_000_000 + millis * 1_000)
}

/// Returns a message with a relayed packet of this length.
fn message_of(length: usize) -> FleetMessage {
    let packet: Vec<u8> = (0..length).map(|index| (index % 251) as u8).collect();
    let mut body = vec![0x0a];
    prost::encoding::encode_varint(length as u64, &mut body);
    body.extend(packet);
    let mut encoded = vec![7 << 3 | 2];
    prost::encoding::encode_varint(body.len() as u64, &mut encoded);
    encoded.extend(body);
    FleetMessage::decode(&*encoded).expect("is a message")
}

/// Returns the fragments in another order, some of them twice.
fn any_arrival(
    fragments: &[MessageFragment],
) -> impl Strategy<Value = Vec<MessageFragment>> + use<> {
    let again = prop::sample::subsequence(fragments.to_vec(), 0..=fragments.len());
    let fragments = fragments.to_vec();
    again.prop_flat_map(move |again| {
        let arriving: Vec<_> = fragments.iter().cloned().chain(again).collect();
        Just(arriving).prop_shuffle()
    })
}

fn any_split() -> impl Strategy<Value = (FleetMessage, Vec<MessageFragment>)> {
    (1_500..13_000_usize, any::<u32>()).prop_flat_map(|(length, message_id)| {
        let message = message_of(length);
        let fragments = split_message(&message, message_id);
        any_arrival(&fragments).prop_map(move |fragments| (message.clone(), fragments))
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn reordered_fragments_are_joined((message, fragments) in any_split()) {
        let mut buffer = FragmentBuffer::default();
        let joined: Vec<_> = fragments
            .into_iter()
            .filter_map(|fragment| buffer.insert(clock_at(0), SENDER, fragment).expect("is valid"))
            .collect();
        prop_assert!(!joined.is_empty());
        prop_assert!(joined.iter().all(|other| *other == message));
    }
}

#[test]
fn fragments_fit_a_datagram() {
    for length in [1_500, 4_000, MAX_SPLIT_BYTES - 20] {
        let fragments = split_message(&message_of(length), u32::MAX);
        // A datagram has a digest, and a tag and a length before the fragment.
        let longest = fragments.iter().map(|fragment| fragment.encoded_len() + 11).max();
        assert!(longest.is_some_and(|size| size <= MAX_MESSAGE_BYTES), "{length}: {longest:?}");
    }
}

// Guards against fragments of different senders or messages in one message.
#[test]
fn messages_are_kept_apart() {
    let (first, second) = (message_of(3_000), message_of(2_900));
    let other_sender = SocketAddrV4::new(Ipv4Addr::new(10, 9, 9, 8), 9_999);
    let mut buffer = FragmentBuffer::default();
    let mut joined = Vec::new();
    for (one, two) in split_message(&first, 1).into_iter().zip(split_message(&second, 2)) {
        for (sender, fragment) in
            [(SENDER, one.clone()), (SENDER, two.clone()), (other_sender, two)]
        {
            joined.extend(buffer.insert(clock_at(0), sender, fragment).expect("is valid"));
        }
    }
    assert_eq!(joined, [first, second.clone(), second]);
    assert_eq!(buffer.size(), 0);
}

// Guards against memory that fills up with messages whose other fragments were lost.
#[test]
fn incomplete_messages_are_dropped() {
    let mut buffer = FragmentBuffer::default();
    let fragments = split_message(&message_of(13_000), 1);
    for message_id in 0..1_000 {
        for fragment in &fragments[1..] {
            let fragment = MessageFragment { message_id, ..fragment.clone() };
            assert_eq!(buffer.insert(clock_at(0), SENDER, fragment), Ok(None));
            assert!(buffer.size() <= MAX_BUFFERED_BYTES);
        }
    }
    assert!(buffer.remove_expired(clock_at(INCOMPLETE_TTL_MS - 1)).is_empty());
    let lost = buffer.remove_expired(clock_at(INCOMPLETE_TTL_MS + 1));
    assert_eq!(buffer.size(), 0);
    let count = fragments.len() as u32;
    let received = fragments.len() - 1;
    assert!(lost.contains(&LostMessage { from: SENDER, received, count }), "{:?}", lost.first());
}

// Guards against a message at the limit that its receiver rejects.
#[test]
fn longest_message_is_joined() {
    // A body of this length has two more tags, and lengths of two bytes each.
    let longest = MAX_SPLIT_BYTES - 6;
    assert_eq!(message_of(longest).encoded_len(), MAX_SPLIT_BYTES);
    for (length, is_valid) in [(longest - 1, true), (longest, true), (longest + 1, false)] {
        let message = message_of(length);
        let mut buffer = FragmentBuffer::default();
        let results: Vec<_> = split_message(&message, 1)
            .into_iter()
            .map(|fragment| buffer.insert(clock_at(0), SENDER, fragment))
            .collect();
        assert_eq!(results.contains(&Ok(Some(message))), is_valid, "{length}");
        assert_eq!(results.contains(&Err(InvalidFragment)), !is_valid, "{length}");
    }
}

#[test]
fn invalid_fragments_are_rejected() {
    let fragments = split_message(&message_of(3_000), 1);
    let first = &fragments[0];
    let invalid = [
        MessageFragment { count: 1, ..first.clone() },
        MessageFragment { count: u32::MAX, ..first.clone() },
        MessageFragment { index: first.count, ..first.clone() },
        MessageFragment { bytes: Vec::new(), ..first.clone() },
    ];
    let mut buffer = FragmentBuffer::default();
    for fragment in invalid {
        assert_eq!(buffer.insert(clock_at(0), SENDER, fragment), Err(InvalidFragment));
    }
    assert_eq!(buffer.insert(clock_at(0), SENDER, first.clone()), Ok(None));
    let other_count = MessageFragment { count: 9, index: 1, ..first.clone() };
    assert_eq!(buffer.insert(clock_at(0), SENDER, other_count), Err(InvalidFragment));
    // Fragments that don't make up a message.
    let garbage = |index| MessageFragment { message_id: 2, index, count: 2, bytes: vec![0xff; 9] };
    assert_eq!(buffer.insert(clock_at(0), SENDER, garbage(0)), Ok(None));
    assert_eq!(buffer.insert(clock_at(0), SENDER, garbage(1)), Err(InvalidFragment));
}
