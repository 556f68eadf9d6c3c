//! Replay of a caller's body in several attempts.

use bytes::Bytes;
use futures::StreamExt;
use futures::channel::mpsc::{UnboundedSender, unbounded};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use savorylane_daemon::body::{Body, Error, Replay};

/// Size of a frame; the frames of a body together exceed the replay buffer.
const FRAME_BYTES: usize = 100_000;
/// Number of frames of a body.
const FRAMES: u8 = 5;

/// Returns a body and the sender of its frames.
fn open_body() -> (UnboundedSender<Bytes>, Replay) {
    let (feed, fed) = unbounded::<Bytes>();
    let frames = fed.map(|bytes| Ok::<_, Error>(Frame::data(bytes)));
    (feed, Replay::new(StreamBody::new(frames), u64::MAX))
}

fn frame(number: u8) -> Bytes {
    Bytes::from(vec![number; FRAME_BYTES])
}

fn whole_body() -> Bytes {
    (0..FRAMES).flat_map(frame).collect()
}

async fn read_all(body: Body) -> Result<Bytes, Error> {
    Ok(body.collect().await?.to_bytes())
}

/// Guards against bodies with missing frames: an upstream that answered early
/// still reads the body while another attempt sends it, and each takes frames
/// that the other needs.
#[tokio::test]
async fn a_later_attempt_gets_the_whole_body_and_an_earlier_one_none_of_its_rest() {
    let (feed, replay) = open_body();
    let mut first = replay.attempt_body();
    feed.unbounded_send(frame(0)).unwrap();
    first.frame().await.unwrap().unwrap();
    let second = tokio::spawn(read_all(replay.attempt_body()));
    for number in 1..FRAMES {
        feed.unbounded_send(frame(number)).unwrap();
        tokio::task::yield_now().await;
        // The first attempt may read buffered frames, but none from the caller.
        let _ = first.frame().await;
    }
    drop(feed);
    assert_eq!(second.await.unwrap().unwrap(), whole_body());
    assert!(
        read_all(first).await.is_err(),
        "a partial body was taken for a complete one"
    );
}

/// Guards against a truncated request body that looks complete: after the
/// answer, the HTTP server drops the rest of the body and reports its end.
#[tokio::test]
async fn the_rest_of_a_body_is_missing_after_the_answer() {
    let (feed, replay) = open_body();
    let mut attempt = replay.attempt_body();
    feed.unbounded_send(frame(0)).unwrap();
    attempt.frame().await.unwrap().unwrap();
    replay.mark_answered();
    drop(feed);
    assert!(read_all(attempt).await.is_err());
}
