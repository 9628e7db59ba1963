//! Where messages begin and end in a stream of Cap'n Proto messages.

use capnp::{message::SegmentArray, serialize};
use guavacourse::modules::message_frames::{MessageFrames, Progress};

const WORD: usize = 8;

/// Returns a message whose segments have these sizes in words.
fn message(words: &[usize]) -> Vec<u8> {
    let segments: Vec<Vec<u8>> = words.iter().map(|size| vec![1; size * WORD]).collect();
    let segments: Vec<&[u8]> = segments.iter().map(Vec::as_slice).collect();
    let mut bytes = Vec::new();
    serialize::write_message_segments(&mut bytes, &SegmentArray::new(&segments)).expect("written");
    bytes
}

/// Guards against a stream being followed differently if it is cut at other bytes.
#[test]
fn messages_are_followed_in_pieces_of_any_size() {
    let sizes: [&[usize]; 6] = [&[1], &[3, 1], &[2, 0, 5], &[0], &[1; 8], &[700]];
    let stream: Vec<u8> = sizes.iter().flat_map(|words| message(words)).collect();
    for piece in [1, 2, 3, 5, 7, 8, 13, 64, 1_000, stream.len()] {
        let mut frames = MessageFrames::default();
        let mut ended = 0;
        for bytes in stream.chunks(piece) {
            ended += frames.follow(bytes).expect("followed").ended;
        }
        assert_eq!(ended, sizes.len(), "pieces of {piece}");
        let rest = frames.follow(&message(&[4])[..WORD]);
        let pending = Progress {
            ended: 0,
            pending: 4 * WORD,
        };
        assert_eq!(rest, Ok(pending), "pieces of {piece}");
    }
}

/// Guards against the size of a message being known only once it has arrived.
#[test]
fn the_size_is_known_with_the_table() {
    let bytes = message(&[3, 2]);
    let mut frames = MessageFrames::default();
    let known = bytes.iter().map(|byte| {
        let progress = frames.follow(&[*byte]).expect("followed");
        (progress.ended, progress.pending)
    });
    let known: Vec<(usize, usize)> = known.collect();
    let table = 2 * WORD;
    assert!(known[..table - 1].iter().all(|known| *known == (0, 0)));
    let (last, body) = known[table - 1..].split_last().expect("a body");
    assert!(body.iter().all(|known| *known == (0, 5 * WORD)));
    assert_eq!(*last, (1, 0));
}

/// Guards against a table without end.
#[test]
fn a_message_of_too_many_segments_is_not_followed() {
    assert!(MessageFrames::default().follow(&message(&[0; 512])).is_ok());
    let refused = MessageFrames::default().follow(&message(&[0; 513]));
    let text = refused.map_err(|error| error.to_string());
    assert_eq!(
        text,
        Err("a message of 513 segments is not accepted; send at most 512".to_owned())
    );
    let largest = [u8::MAX; 4];
    assert!(MessageFrames::default().follow(&largest).is_err());
}
