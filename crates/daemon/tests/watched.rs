//! Deadline and size limit of the answers that a daemon passes on.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::stream;
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, StreamBody};
use savorylane_daemon::body::{Body, Error, Observer, Watched, full};

/// Time from the start of a test to the deadline of its answer.
const DEADLINE: Duration = Duration::from_millis(200);
/// Time after the deadline within which an answer must have ended: the grace
/// period, and delays on a loaded machine.
const SCHEDULING_SLACK: Duration = Duration::from_millis(500);
/// Size limit of an answer in the tests that set one.
const MAX_BYTES: u64 = 1 << 20;
/// Size of each frame.
const FRAME_BYTES: usize = 4_096;

/// Reports to a test whether a body was complete when it ended.
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

/// Wraps a body with [`DEADLINE`] and `limit`; the receiver gets whether it was
/// complete when it ended.
fn wrap(inner: Body, limit: u64) -> (Body, Receiver<bool>) {
    let (sender, ended) = channel();
    let deadline = Instant::now() + DEADLINE;
    (
        Watched::wrap(inner, deadline, limit, Recorder(sender)),
        ended,
    )
}

/// Guards against an answer that continues past its deadline: a body that is
/// always ready keeps its reader busy, so that the task of the deadline does
/// not run.
#[tokio::test]
async fn a_body_that_is_always_ready_is_truncated_at_its_deadline() {
    let start = Instant::now();
    let (mut body, ended) = wrap(endless_body(), u64::MAX);
    while body
        .frame()
        .await
        .expect("the body ended instead of failing")
        .is_ok()
    {
        assert!(
            start.elapsed() < DEADLINE + SCHEDULING_SLACK,
            "the body was not truncated"
        );
    }
    assert!(start.elapsed() >= DEADLINE, "the body was truncated early");
    assert!(!body.is_end_stream(), "a truncated body looks complete");
    assert_eq!(ended.try_recv(), Ok(false));
}

/// Guards against an answer that holds its slot and its connection beyond the
/// deadline because the caller does not read it, so that nothing polls the
/// body.
#[tokio::test]
async fn a_body_that_nobody_reads_ends_at_its_deadline() {
    let (mut body, ended) = wrap(endless_body(), u64::MAX);
    body.frame().await.unwrap().unwrap();
    tokio::time::sleep(DEADLINE + SCHEDULING_SLACK).await;
    assert_eq!(ended.try_recv(), Ok(false));
    assert!(!body.is_end_stream(), "a truncated body looks complete");
    assert!(body.frame().await.unwrap().is_err());
}

/// Guards against an answer of unlimited size, which would be passed on until
/// its deadline.
#[tokio::test]
async fn a_body_is_truncated_at_its_limit() {
    let (mut body, ended) = wrap(endless_body(), MAX_BYTES);
    let mut passed = 0;
    while let Ok(frame) = body
        .frame()
        .await
        .expect("the body ended instead of failing")
    {
        passed += frame.data_ref().unwrap().len() as u64;
        assert!(passed <= MAX_BYTES, "the body was not truncated");
    }
    assert_eq!(passed, MAX_BYTES, "the body was truncated early");
    assert_eq!(ended.try_recv(), Ok(false));
}

/// Guards against truncation of complete answers: answers of exactly the size
/// limit, without content, or read to the end in time and dropped later.
#[tokio::test]
async fn a_complete_body_is_not_truncated() {
    for length in [0, 1, MAX_BYTES as usize] {
        let (body, ended) = wrap(full(vec![b'x'; length]), MAX_BYTES);
        let read = body.collect().await.unwrap().to_bytes();
        assert_eq!(read.len(), length);
        assert_eq!(ended.try_recv(), Ok(true));
        tokio::time::sleep(DEADLINE + SCHEDULING_SLACK).await;
        assert!(ended.try_recv().is_err(), "the end was reported twice");
    }
}

/// Guards against an answer that is truncated although it is ready, because its
/// deadline passed shortly before: the caller has the head and loses the body.
#[tokio::test]
async fn a_body_that_is_ready_just_after_its_deadline_is_complete() {
    let (body, ended) = wrap(full(vec![b'x'; FRAME_BYTES]), MAX_BYTES);
    tokio::time::sleep(DEADLINE + Duration::from_millis(50)).await;
    let read = body.collect().await.map(|body| body.to_bytes().len());
    assert_eq!(read.ok(), Some(FRAME_BYTES));
    assert_eq!(ended.try_recv(), Ok(true));
}
