//! Long polls between daemons: composes polls and their answers, and adopts the
//! payloads of answers.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use savorylane_distribution::age::Numbers;
use savorylane_distribution::source::{self, Answer, Request};
use savorylane_intent::hosts::{self, List, delta as lists};
use savorylane_intent::{Hash, Version, transfer};
use savorylane_wire::control::{Candidate, Poll, poll};
use savorylane_wire::rpc::Payload;

use super::{accept_checked, cut_off, millis, numbers_in_force, offer_host_list, without_departed};
use crate::audit::Event;
use crate::kernel::Context;

/// Maximum time for which a poll is held, whatever time the poll permits.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Minimum advance of the time up to which all changes are known, from which on
/// a held poll is answered.
const MIN_CONFIRMATION_PROGRESS: Duration = Duration::from_millis(400);
/// Maximum number of cached payloads. Few suffice, since most followers have
/// the same base.
const MAX_CACHED_PAYLOADS: usize = 8;

/// Encoded contents of payloads, by the hashes of the base and the result.
#[derive(Debug, Default)]
pub(super) struct Cache(Mutex<VecDeque<(Key, Arc<str>)>>);

type Key = (Option<Hash>, Hash);

impl Cache {
    /// Returns the encoded content of a payload, from the cache or else from
    /// `encode`.
    fn get<F>(&self, key: Key, encode: F) -> Option<Arc<str>>
    where
        F: FnOnce() -> Option<Vec<u8>>,
    {
        let mut cached = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, text)) = cached.iter().find(|(cached, _)| *cached == key) {
            return Some(Arc::clone(text));
        }
        let text: Arc<str> = STANDARD.encode(encode()?).into();
        cached.push_front((key, Arc::clone(&text)));
        cached.truncate(MAX_CACHED_PAYLOADS);
        Some(text)
    }
}

/// Returns the message for a poll that the source requested.
pub(super) fn compose_poll(context: &Context, request: &Request) -> Poll {
    let now = context.now();
    let listed = context.config.platform_list();
    let reading = context.distribution.lock().reading_time(now);
    Poll {
        from: context.sender(),
        data_centre: context.settings.data_centre.clone(),
        rate: context.settings.link_mbps,
        needs: request.needs,
        reading_ms: reading.map(millis),
        version: context.config.version(),
        list: listed.as_ref().map_or(0, |listed| listed.list.number),
        list_hash: listed.map(|listed| listed.hash),
        wait_ms: millis(request.wait),
        version_after_ms: match request.wait.is_zero() {
            true => 0,
            false => millis(context.distribution.adoption_pause(now)),
        },
        wants_kept: cut_off::wants_kept_hosts(context),
    }
}

/// Answers a poll.
///
/// A poll is held, if the source permits it, until one of these events:
///
/// - A version or list is available that the sender wants and does not have.
/// - The time up to which all changes are known has advanced by 400 ms.
/// - This host is leaving.
/// - The time that the poll permits, at most 5 s, is over.
pub async fn answer(context: &Arc<Context>, message: Poll) -> poll::Answer {
    let received_at = context.now();
    let mut current = context.config.subscribe();
    current.borrow_and_update();
    let known = Numbers {
        version: message.version.map_or(0, |version| version.number),
        list: message.list,
    };
    let mut roles = on_poll(context, &message);
    let wait = Duration::from_millis(message.wait_ms).min(MAX_HOLD);
    let version_at = received_at + Duration::from_millis(message.version_after_ms).min(wait);
    if roles.may_hold && !wait.is_zero() {
        let update = async {
            while !has_update(context, &known, version_at) {
                let until_version = version_at.saturating_sub(context.now());
                tokio::select! {
                    changed = current.changed() => if changed.is_err() { return },
                    () = tokio::time::sleep(until_version), if !until_version.is_zero() => {}
                }
            }
        };
        tokio::select! {
            () = update => {}
            () = wait_for_confirmation(context) => {}
            () = context.leaving.cancelled() => {}
            () = tokio::time::sleep(wait) => {}
        }
        roles = on_poll(context, &message);
    }
    compose_answer(context, &message, &known, roles, received_at)
}

/// Waits until the time up to which all changes are known has advanced by
/// [`MIN_CONFIRMATION_PROGRESS`], so that the age of the knowledge does not
/// grow by the hold time of each poll between the store and a follower.
async fn wait_for_confirmation(context: &Context) {
    let mut confirmed = context.distribution.confirmed.subscribe();
    let initial = confirmed_until(context);
    // The sender lives as long as the context.
    while confirmed.changed().await.is_ok() {
        if confirmed_until(context) >= initial + MIN_CONFIRMATION_PROGRESS {
            return;
        }
    }
}

/// Returns the time up to which all changes are known; zero if they never were.
fn confirmed_until(context: &Context) -> Duration {
    let now = context.now();
    let age = context.distribution.age.at(now);
    now.saturating_sub(age.unwrap_or(now))
}

/// Returns whether there is an update for a follower that has the version and
/// list `known`. A newer list is an update at once, a newer version from
/// `version_at` on.
fn has_update(context: &Context, known: &Numbers, version_at: Duration) -> bool {
    let own = numbers_in_force(context);
    own.list > known.list || own.version > known.version && context.now() >= version_at
}

/// Passes a poll to the source, and returns the role information for the
/// answer.
fn on_poll(context: &Context, message: &Poll) -> Answer {
    let now = context.now();
    let poll = source::Poll {
        from: source::Candidate {
            name: message.from.host.as_str().into(),
            rate: message.rate,
        },
        data_centre: message.data_centre.as_str().into(),
        needs: message.needs,
        reading_time: message.reading_ms.map(Duration::from_millis),
    };
    let distribution = &context.distribution;
    let age = distribution.age.at(now);
    distribution.update(|source| source.on_poll(now, &poll, age))
}

/// Returns the answer to a poll that arrived at `received_at`, from a daemon
/// that has the version and list `known`.
fn compose_answer(
    context: &Context,
    message: &Poll,
    known: &Numbers,
    roles: Answer,
    received_at: Duration,
) -> poll::Answer {
    // The age must be read first: whatever is read later is at least as new.
    let age = context.distribution.age.at(context.now());
    let own = numbers_in_force(context);
    let mut answer = poll::Answer {
        reader: roles.reader,
        rate: roles.rate,
        reading_ms: roles.reading_time.map(millis),
        age_ms: age.map(millis),
        held_ms: millis(context.now().saturating_sub(received_at)),
        source: roles.source.map(|source| source.to_string()),
        promote: roles.promote,
        leaving: roles.leaving,
        revision: context.distribution.revision(),
        version: own.version,
        ..poll::Answer::default()
    };
    for candidate in roles.candidates {
        answer.candidates.push(Candidate {
            host: candidate.name.to_string(),
            rate: candidate.rate,
        });
    }
    if own.version > known.version && answer.held_ms >= message.version_after_ms {
        answer.document = document_payload(context, message.version);
    }
    if own.list > known.list {
        answer.list = list_payload(context, message.list_hash);
    }
    if message.wants_kept {
        answer.kept = kept_payload(context);
    }
    answer
}

/// Returns the document in force, as a delta to the version `base` if possible.
fn document_payload(context: &Context, base: Option<Version>) -> Option<Payload> {
    let version = context.config.version()?;
    let base = base.map(|base| base.hash);
    let cache = &context.distribution.payloads;
    let text = cache.get((base, version.hash), || {
        let (found, content) = context.config.content_since(base)?;
        // Another version may have come into force; the next poll delivers it.
        (found == version).then(|| transfer::encode(&content))
    })?;
    Some(Payload {
        version: Some(version),
        content: text.to_string(),
    })
}

/// Returns the platform's list, as a delta to the list with the hash `base` if
/// possible.
fn list_payload(context: &Context, base: Option<Hash>) -> Option<Payload> {
    let listed = context.config.platform_list()?;
    let cache = &context.distribution.payloads;
    let text = cache.get((base, listed.hash), || {
        let base = base.and_then(|hash| context.config.list_by_hash(hash));
        let content = lists::content_since(base.as_deref(), &listed.list);
        Some(lists::encode(&content))
    })?;
    Some(Payload {
        version: None,
        content: text.to_string(),
    })
}

/// Returns the hosts that this daemon keeps, if there are any.
fn kept_payload(context: &Context) -> Option<Payload> {
    let hosts = context.config.kept_hosts();
    if hosts.is_empty() {
        return None;
    }
    let number = numbers_in_force(context).list;
    Some(Payload {
        version: None,
        content: STANDARD.encode(hosts::pack(&List { number, hosts })),
    })
}

/// Arrival of an answer relative to the timeout of its poll.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Arrival {
    /// Before the poll timed out.
    InTime,
    /// After the poll timed out.
    Late,
}

/// Handles the answer of `host` to a poll that was sent at `sent_at`: adopts
/// its payloads and passes the role information to the source.
pub(super) async fn on_answer(
    context: &Arc<Context>,
    host: &str,
    message: poll::Answer,
    sent_at: Duration,
    arrival: Arrival,
) {
    let now = context.now();
    let transit = now
        .saturating_sub(sent_at)
        .saturating_sub(Duration::from_millis(message.held_ms));
    // The list must be adopted first: the routes of a document may name
    // services that are as new as the document.
    let payload = message.list.as_ref();
    let complete = payload.is_none_or(|list| adopt_host_list(context, host, list));
    if let Some(kept) = &message.kept {
        adopt_kept_hosts(context, host, kept);
    }
    if let Some(document) = message.document {
        adopt_document(context, host, document).await;
    }
    let complete = complete && numbers_in_force(context).version >= message.version;
    let age = message.age_ms.map(Duration::from_millis);
    if complete && let Some(age) = age {
        let distribution = &context.distribution;
        distribution.confirm(now.saturating_sub(age + transit));
        distribution.on_revision(message.revision);
    }
    let candidate = |candidate: &Candidate| source::Candidate {
        name: candidate.host.as_str().into(),
        rate: candidate.rate,
    };
    let answer = Answer {
        reader: message.reader,
        rate: message.rate,
        reading_time: message.reading_ms.map(Duration::from_millis),
        age,
        source: message.source.as_deref().map(Arc::from),
        promote: message.promote,
        leaving: message.leaving,
        may_hold: false,
        candidates: message.candidates.iter().map(candidate).collect(),
    };
    let now = context.now();
    context.distribution.update(|source| match arrival {
        Arrival::InTime => source.on_answer(now, host, &answer, transit),
        Arrival::Late => source.on_late_answer(now, host, &answer, transit),
    });
}

/// Adopts a document or a delta, on a blocking thread so that no request has to
/// wait for it.
async fn adopt_document(context: &Arc<Context>, host: &str, payload: Payload) {
    let (own, source) = (Arc::clone(context), host.to_owned());
    let start = context.now();
    let adoption = tokio::task::spawn_blocking(move || {
        let Some(content) = decode(&own, &source, &payload) else {
            return;
        };
        own.config
            .offer(&own.trail, &source, |store| store.offer_transfer(&content));
    });
    // The task fails only if the runtime shuts down.
    let _ = adoption.await;
    let now = context.now();
    context
        .distribution
        .on_adoption(now, now.saturating_sub(start));
}

/// Adopts a host list or a delta. Returns whether that list or a newer one is
/// in force.
fn adopt_host_list(context: &Context, host: &str, payload: &Payload) -> bool {
    let Some(content) = decode(context, host, payload) else {
        return false;
    };
    let known = context.config.platform_list();
    let known = known.map(|known| known.list).unwrap_or_default();
    match lists::decode(&content).and_then(|content| content.resolve(&known)) {
        Ok(checked) => {
            let list = accept_checked(context, host, checked);
            offer_host_list(context, without_departed(context, list), host);
            true
        }
        Err(fault) => {
            refuse(context, host, fault.to_string());
            false
        }
    }
}

/// Adopts the hosts that another daemon keeps.
fn adopt_kept_hosts(context: &Context, host: &str, payload: &Payload) {
    let Some(content) = decode(context, host, payload) else {
        return;
    };
    match hosts::unpack(&content) {
        Ok(checked) => {
            let kept = accept_checked(context, host, checked);
            cut_off::on_kept_hosts(context, &kept);
        }
        Err(fault) => refuse(context, host, fault.to_string()),
    }
}

/// Decodes the content of a payload. Records in the audit trail that invalid
/// content was refused.
fn decode(context: &Context, host: &str, payload: &Payload) -> Option<Vec<u8>> {
    let decoded = STANDARD.decode(&payload.content);
    if let Err(error) = &decoded {
        refuse(context, host, error.to_string());
    }
    decoded.ok()
}

/// Records in the audit trail that content of `host` was refused.
fn refuse(context: &Context, host: &str, reason: String) {
    context.trail.record(Event::Refused {
        source: host.into(),
        reason,
    });
}
