//! Fetches documents and host lists from other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use savorylane_intent::adopt::Outcome;
use savorylane_intent::{Hash, hosts};
use savorylane_wire::rpc::{ControlClient, Fetch};
use tokio::time::error::Elapsed;

use super::control_address;
use crate::audit::Event;
use crate::distribution;
use crate::edge::control::client;
use crate::kernel::Context;
use crate::quota;

/// Timeout of a fetch of a document or host list.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Fetches the newest announced document and offers it for adoption, until no
/// greater version is announced.
pub(super) async fn offer_newest_document(context: Arc<Context>) {
    loop {
        let mut next = None;
        context.peers.fetching.send_modify(|fetching| {
            next = fetching.next.take();
            fetching.active = next.is_some();
        });
        let Some((host, version)) = next else { return };
        if let Some(address) = control_address(&context, &host)
            && context.config.version() < Some(version)
        {
            let base = context.config.version().map(|version| version.hash);
            let outcome = offer_document(&context, address, &host, base).await;
            if matches!(outcome, Some(Outcome::Baseless { .. })) {
                offer_document(&context, address, &host, None).await;
            }
        }
    }
}

/// Fetches the document of the daemon at `address` and offers it for adoption.
/// `base` is the hash of a document to which the daemon may send a delta; with
/// `None`, it sends the whole document.
pub async fn offer_document(
    context: &Arc<Context>,
    address: SocketAddr,
    source: &str,
    base: Option<Hash>,
) -> Option<Outcome> {
    let message = Fetch {
        from: context.sender(),
        base,
    };
    let client = client(context, address);
    let answer = tokio::time::timeout(FETCH_TIMEOUT, client.fetch(message)).await;
    let payload = unwrap_answer(answer, "document", source)?;
    let content = decode(&payload.content)?;
    let outcome = context.config.offer(&context.trail, source, |store| {
        store.offer_transfer(&content)
    });
    Some(outcome)
}

/// Fetches the host list of `host` after an announcement and offers it.
pub(super) async fn offer_newest_host_list(context: Arc<Context>, host: Arc<str>) {
    if let Some(address) = control_address(&context, &host) {
        offer_host_list(&context, address, &host).await;
    }
    context
        .peers
        .fetching_host_list
        .store(false, Ordering::Relaxed);
}

/// Fetches the host list of the daemon at `address` and offers it. Returns
/// whether the list was adopted.
pub async fn offer_host_list(context: &Arc<Context>, address: SocketAddr, source: &str) -> bool {
    let Some(list) = host_list(context, address, source).await else {
        return false;
    };
    let adopted = context.config.offer_list(&context.trail, list, source);
    quota::on_host_list(context);
    adopted
}

/// Fetches the host list of the daemon at `address` if it is newer than the one
/// in force. Records in the audit trail that an invalid list was refused.
pub async fn host_list(
    context: &Arc<Context>,
    address: SocketAddr,
    source: &str,
) -> Option<hosts::List> {
    let after = context.config.list().map_or(0, |list| list.number);
    let client = client(context, address);
    let answer = tokio::time::timeout(FETCH_TIMEOUT, client.hosts(after)).await;
    let content = decode(&unwrap_answer(answer, "host list", source)?.content)?;
    let fault = match hosts::unpack(&content) {
        Ok(checked) => return Some(distribution::accept_checked(context, source, checked)),
        Err(fault) => fault,
    };
    context.trail.record(Event::Refused {
        source: source.into(),
        reason: fault.to_string(),
    });
    None
}

/// Returns the content that a daemon sent, or logs why the call failed.
fn unwrap_answer<T>(
    answer: Result<Result<Option<T>, jsonrpsee::core::ClientError>, Elapsed>,
    subject: &str,
    source: &str,
) -> Option<T> {
    match answer {
        Ok(Ok(content)) => content,
        Ok(Err(error)) => {
            log::warn!("cannot fetch the {subject} of {source}: {error}");
            None
        }
        Err(_) => {
            log::warn!("cannot fetch the {subject} of {source}: no answer in {FETCH_TIMEOUT:?}");
            None
        }
    }
}

fn decode(content: &str) -> Option<Vec<u8>> {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD
        .decode(content)
        .ok()
}
