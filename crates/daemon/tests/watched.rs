//! Answers that go on without end, as the daemon passes them on.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, StreamBody};
use savorylane_daemon::body::{Body, Error, Observer, Watched, full};

/// Time after which an answer is cut.
const DEADLINE: Duration = Duration::from_millis(200);
/// Time that a loaded machine may take beyond that.
const SCHEDULING_SLACK: Duration = Duration::from_millis(500);
/// Bytes of an answer, at most, where a test has a bound to meet.
const MAX_BYTES: u64 = 1 << 20;
/// Bytes of each frame.
const FRAME_BYTES: usize = 4_096;

/// Tells a test how a body ended.
struct Recorder(Sender<bool>);

impl Observer for Recorder {
    fn on_end(self, complete: bool) {
        let _ = self.0.send(complete);
    }
}

/// Returns a body whose next frame is always ready.
fn endless_body() -> Body {
    let frames = || Ok::<_, Error>(Frame::data(Bytes::from_static(&[b'x'; FRAME_BYTES])));
    StreamBody::new(stream::repeat_with(frames)).boxed_unsync()
}

fn watch(inner: Body, limit: u64) -> (Body, Receiver<bool>) {
    let (sender, ended) = channel();
    let deadline = Instant::now() + DEADLINE;
    (
        Watched::wrap(inner, deadline, limit, Recorder(sender)),
        ended,
    )
}

/// Guards against an answer that goes on past its deadline because more of it
/// is always ready.
#[tokio::test]
async fn a_body_that_is_always_ready_is_cut_at_its_deadline() {
    let start = Instant::now();
    let (mut body, ended) = watch(endless_body(), u64::MAX);
    while body.frame().await.expect("the end is no cut").is_ok() {
        assert!(
            start.elapsed() < DEADLINE + SCHEDULING_SLACK,
            "the body goes on"
        );
    }
    assert!(start.elapsed() >= DEADLINE, "the body was cut early");
    assert!(!body.is_end_stream(), "a cut body looks complete");
    assert_eq!(ended.try_recv(), Ok(false));
}

/// Guards against an answer that holds its slot and its connection for as long
/// as a caller that does not read keeps the rest of it waiting.
#[tokio::test]
async fn a_body_that_nobody_reads_ends_at_its_deadline() {
    let (mut body, ended) = watch(endless_body(), u64::MAX);
    body.frame().await.unwrap().unwrap();
    tokio::time::sleep(DEADLINE + SCHEDULING_SLACK).await;
    assert_eq!(ended.try_recv(), Ok(false));
    assert!(!body.is_end_stream(), "a cut body looks complete");
    assert!(body.frame().await.unwrap().is_err());
}

/// Guards against an answer of any size that is passed on while its deadline
/// is far.
#[tokio::test]
async fn a_body_is_cut_at_its_limit() {
    let (mut body, ended) = watch(endless_body(), MAX_BYTES);
    let mut passed = 0;
    while let Ok(frame) = body.frame().await.expect("the end is no cut") {
        passed += frame.data_ref().unwrap().len() as u64;
        assert!(passed <= MAX_BYTES, "the body goes on");
    }
    assert_eq!(passed, MAX_BYTES, "the body was cut early");
    assert_eq!(ended.try_recv(), Ok(false));
}

/// Guards against whole answers that are cut: at the limit, without content, or
/// read to the end in time and kept for longer.
#[tokio::test]
async fn a_whole_body_is_not_cut() {
    for length in [0, 1, MAX_BYTES as usize] {
        let (body, ended) = watch(full(vec![b'x'; length]), MAX_BYTES);
        let read = body.collect().await.unwrap().to_bytes();
        assert_eq!(read.len(), length);
        assert_eq!(ended.try_recv(), Ok(true));
        tokio::time::sleep(DEADLINE + SCHEDULING_SLACK).await;
        assert!(ended.try_recv().is_err(), "the end is told once");
    }
}

/// Guards against an answer that is ready and cut because its deadline has just
/// passed: its caller got the head and lost the rest.
#[tokio::test]
async fn a_body_that_is_ready_just_after_its_deadline_is_whole() {
    let (body, ended) = watch(full(vec![b'x'; FRAME_BYTES]), MAX_BYTES);
    tokio::time::sleep(DEADLINE + Duration::from_millis(50)).await;
    let read = body.collect().await.map(|body| body.to_bytes().len());
    assert_eq!(read.ok(), Some(FRAME_BYTES));
    assert_eq!(ended.try_recv(), Ok(true));
}
