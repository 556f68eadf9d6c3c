//! Coalescing of the small frames of a body.

use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;
use savorylane_daemon::body::{Error, Packed};
use tokio::time::{Instant, Sleep};

/// Size below which a frame costs the receiver more memory than it carries. The
/// receiver limits how many such frames may wait on a connection.
const TINY_FRAME_BYTES: usize = 256;

/// One step of a [`Source`].
#[derive(Clone, Debug)]
enum Step {
    /// Yields a chunk of this many bytes.
    Chunk(usize),
    /// Is pending once, and wakes the reader at once.
    Yield,
    /// Is pending for this time.
    Pause(Duration),
}

/// An HTTP/1.1 body that follows `steps`.
struct Source {
    steps: VecDeque<Step>,
    pause: Option<Pin<Box<Sleep>>>,
}

impl http_body::Body for Source {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        loop {
            if let Some(pause) = &mut self.pause {
                if pause.as_mut().poll(cx).is_pending() {
                    return Poll::Pending;
                }
                self.pause = None;
            }
            match self.steps.pop_front() {
                None => return Poll::Ready(None),
                Some(Step::Chunk(size)) => {
                    return Poll::Ready(Some(Ok(Frame::data(vec![b'x'; size].into()))));
                }
                Some(Step::Yield) => {
                    cx.waker().wake_by_ref();
                    return Poll::Pending;
                }
                Some(Step::Pause(time)) => {
                    self.pause = Some(Box::pin(tokio::time::sleep(time)));
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.steps.is_empty()
    }
}

/// Size of a frame that was passed on, and the time since the start.
type Emitted = (usize, Duration);

/// Reads a packed body that follows `steps` to its end.
async fn pack(steps: impl IntoIterator<Item = Step>) -> Vec<Emitted> {
    let source = Source {
        steps: steps.into_iter().collect(),
        pause: None,
    };
    let mut body = Packed::wrap(source.boxed_unsync());
    let start = Instant::now();
    let mut frames = Vec::new();
    while let Some(frame) = body.frame().await {
        let size = frame.unwrap().into_data().unwrap().len();
        frames.push((size, start.elapsed()));
    }
    frames
}

/// Returns the number of frames below [`TINY_FRAME_BYTES`].
fn count_tiny(frames: &[Emitted]) -> usize {
    frames
        .iter()
        .filter(|(size, _)| *size < TINY_FRAME_BYTES)
        .count()
}

fn repeat(steps: &[Step], times: usize) -> Vec<Step> {
    (0..times).flat_map(|_| steps.to_vec()).collect()
}

/// Guards against the loss of a connection between daemons, with all requests
/// on it: the HTTP/2 library closes it if an upstream sends tiny chunks faster
/// than the caller reads. Larger frames in between must not allow as many
/// again.
#[tokio::test(start_paused = true)]
async fn a_fast_source_of_tiny_chunks_makes_few_tiny_frames() {
    for size in [1, 32, 200] {
        let chunks = (2 << 20) / size;
        let frames = pack(repeat(&[Step::Chunk(size), Step::Yield], chunks)).await;
        let bytes: usize = frames.iter().map(|(size, _)| size).sum();
        assert_eq!(bytes, chunks * size);
        // One tiny frame in 64 KiB keeps a full stream window far below the
        // limit of the library.
        assert!(
            count_tiny(&frames) <= 33,
            "{size}: {} tiny frames",
            count_tiny(&frames)
        );
    }
}

/// Guards against the same loss if the upstream sends tiny chunks with short
/// pauses for as long as a request may last.
#[tokio::test(start_paused = true)]
async fn a_slow_source_of_tiny_chunks_makes_few_tiny_frames() {
    let steps = [Step::Chunk(8), Step::Pause(Duration::from_millis(5))];
    let frames = pack(repeat(&steps, 500)).await;
    let bytes: usize = frames.iter().map(|(size, _)| size).sum();
    assert_eq!(bytes, 4_000);
    assert!(
        count_tiny(&frames) <= 70,
        "{} tiny frames",
        count_tiny(&frames)
    );
}

/// Guards against delayed events if an upstream sends them at an ordinary rate.
#[tokio::test(start_paused = true)]
async fn an_ordinary_stream_is_not_delayed() {
    let pause = Duration::from_millis(100);
    let frames = pack(repeat(&[Step::Chunk(20), Step::Pause(pause)], 100)).await;
    for (number, (size, at)) in frames.iter().take(100).enumerate() {
        assert_eq!(*size, 20);
        let due = pause * number as u32;
        assert!(*at <= due + Duration::from_millis(20), "{number}: {at:?}");
    }
}
