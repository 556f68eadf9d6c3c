//! Callers that break off the bodies of their requests.

mod in_process;

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream;
use http::{Request, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use in_process::{Fleet, Member, get_request, send, wait_until};
use savorylane_daemon::body::{Body, Error};
use savorylane_daemon::call::Call;
use savorylane_standin::upstream::Settings;
use tokio::sync::watch;

/// Number of bytes of a body before it breaks off, more than the gatekeeper
/// reads before the request gets a slot.
const PART_BYTES: usize = 20_000;

/// Returns a call with a body that is still to come.
fn upload(member: &Member, number: usize) -> Call {
    let request = Request::put(format!("/stock/{number}")).body(()).unwrap();
    let (head, ()) = request.into_parts();
    let snapshot = member.context.config.snapshot().unwrap();
    let class = &snapshot.document.classes[0];
    let caller = IpAddr::V4(Ipv4Addr::LOCALHOST);
    Call::parse(&head, class, caller, Instant::now()).unwrap()
}

/// Returns a body that breaks off once `cut` holds.
fn body_until(mut cut: watch::Receiver<bool>) -> Body {
    let part = Frame::data(Bytes::from_static(&[b'u'; PART_BYTES]));
    let error = async move {
        let _ = cut.wait_for(|cut| *cut).await;
        Err::<Frame<Bytes>, Error>("the caller left".into())
    };
    let frames = stream::iter([Ok(part)]).chain(stream::once(error));
    StreamBody::new(frames).boxed_unsync()
}

/// Guards against an upstream that is taken for dead, and whose requests are
/// taken for the cause, because callers break off all bodies on their way to it.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_break_off_their_bodies_do_not_close_the_gate() {
    let fleet = Fleet::spawn(1, Settings::default()).await;
    let member = &fleet.members[0];
    let gatekeeper = &member.context.gatekeeper;

    let (cut, receiver) = watch::channel(false);
    let uploads = [1, 2].map(|number| {
        let (context, call) = (Arc::clone(&member.context), upload(member, number));
        let body = body_until(receiver.clone());
        tokio::spawn(async move { context.gatekeeper.run(&context, &call, body).await })
    });
    wait_until("two uploads in flight", || gatekeeper.load().running == 2).await;
    cut.send_replace(true);
    for refused in join_all(uploads).await {
        assert!(refused.unwrap().is_err());
    }

    let answer = send(member.entry, &get_request("/stock/art")).await;
    assert_eq!(answer.unwrap().status, StatusCode::OK);
}
