//! Edge to the platform's configuration store, which the daemon can only read
//! and watch.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use savorylane_intent::adopt::Outcome;
use savorylane_intent::{Manifest, hosts};
use savorylane_membership::backoff::Delay;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::audit::Event;
use crate::config::PLATFORM_SOURCE;
use crate::edge::keyed_store;
use crate::kernel::{Context, Plugin};
use crate::peers::fetch;
use crate::quota;
use crate::settings::Readers;

/// Key of the manifest's value.
const INTENT_KEY: &str = "intent";
/// Key of the host list's value.
const HOSTS_KEY: &str = "hosts";
/// Time for which the platform holds a watch request without a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Time at the start within which peers may deliver a document before it is
/// read from the platform.
const PEERS_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay between the readers' reads of a new version. A reader with a higher
/// rank usually receives the version from the first reader in the meantime and
/// need not read it.
const RANK_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before a reader retries a failed watch.
///
/// A version that is published immediately after an outage must be in force
/// within 4 s. At the design size, 20 readers make at most 20 such calls per
/// second.
const MAX_WATCH_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Longest delay before a daemon without a configuration asks for it again.
///
/// An available configuration must be in force within 4 s. If 1,100 daemons
/// start simultaneously, they make about 1,100 calls per second; the platform
/// allows 2,000.
const MAX_START_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum size in bytes of a value that is read. The platform stores values of
/// up to a megabyte.
const MAX_VALUE_BYTES: usize = 1 << 20;

inventory::submit! {
    Plugin { name: "platform", order: 10, builtin: true, port: None, run }
}

/// A value of the platform and its revision.
struct Value {
    revision: u64,
    /// Content; `None` if it is larger than [`MAX_VALUE_BYTES`].
    bytes: Option<Bytes>,
}

/// Outcome of applying a value that was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ApplyOutcome {
    /// The value is in force, or another read would not change the outcome.
    Settled,
    /// The value is invalid. It is applied again only if another read returns
    /// different content.
    Refused,
    /// The parts of the document did not match the manifest. They may match
    /// after another read.
    Torn,
}

/// Reason why a read returned no value.
type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Client of the platform.
struct Platform {
    addresses: Vec<SocketAddr>,
    client: Client<HttpConnector, Empty<Bytes>>,
}

fn run(
    context: Arc<Context>,
    _listener: Option<TcpListener>,
    stop: CancellationToken,
) -> BoxFuture<'static, ()> {
    Box::pin(async move {
        if context.settings.adapter.is_some() {
            return keyed_store::run(context, stop).await;
        }
        let platform = Platform::new(&context.settings.platform);
        let work = async {
            fetch_first_configuration(&context, &platform).await;
            watch_as_reader(&context, &platform).await;
        };
        tokio::select! {
            () = work => {}
            () = stop.cancelled() => {}
        }
    })
}

/// Returns the next backoff delay. The thread-local random number generator
/// must not be held across an await, so this function is not async.
fn next_delay(delay: &mut Delay) -> Duration {
    delay.next(&mut rand::rng())
}

/// Fetches the first host list and document from peers, or from the platform if
/// no peer has them.
async fn fetch_first_configuration(context: &Arc<Context>, platform: &Platform) {
    let mut delay = Delay::default();
    loop {
        for peer in &context.settings.peers {
            if fetch::offer_host_list(context, *peer, "peer").await {
                break;
            }
        }
        if context.config.list().is_none() {
            read_and_apply(context, platform, HOSTS_KEY).await;
        }
        if context.config.list().is_some() {
            break;
        }
        tokio::time::sleep(next_delay(&mut delay).min(MAX_START_RETRY_DELAY)).await;
    }
    let mut asked = context.peers.watch_start_query();
    let answered = asked.wait_for(|answers| answers.is_some());
    let _ = tokio::time::timeout(PEERS_TIMEOUT, answered).await;
    let mut current = context.config.subscribe();
    let adopted = current.wait_for(|current| current.version.is_some());
    let _ = tokio::time::timeout(PEERS_TIMEOUT, adopted).await;
    delay.reset();
    while context.config.version().is_none() {
        read_and_apply(context, platform, INTENT_KEY).await;
        // Heartbeats that announce a version can be lost, so every seed is also
        // asked for its document.
        for peer in &context.settings.peers {
            if context.config.version().is_some() {
                return;
            }
            fetch::offer_document(context, *peer, "peer", None).await;
        }
        tokio::time::sleep(next_delay(&mut delay).min(MAX_START_RETRY_DELAY)).await;
    }
}

/// Watches the values of the platform while this daemon is a reader.
async fn watch_as_reader(context: &Arc<Context>, platform: &Platform) {
    let mut reader = context.peers.watch_reader();
    loop {
        let watching = async {
            if context.settings.readers == Readers::Ranked {
                // The sender lives as long as the context.
                let _ = reader.wait_for(|reader| *reader).await;
            }
            let intent = watch(context, platform, INTENT_KEY);
            let hosts = watch(context, platform, HOSTS_KEY);
            futures::future::join(intent, hosts).await
        };
        let mut demoted = context.peers.watch_reader();
        let demoted = async {
            let _ = demoted.wait_for(|reader| *reader).await;
            let _ = demoted.wait_for(|reader| !*reader).await;
        };
        tokio::select! {
            _ = watching => {}
            () = demoted, if context.settings.readers == Readers::Ranked => {}
        }
    }
}

/// Watches a value and applies each revision of it. A value that was not
/// applied is read again after a delay, because it may have been corrupted in
/// transit; a newer revision ends the delay.
async fn watch(context: &Arc<Context>, platform: &Platform, key: &str) {
    let mut delay = Delay::default();
    let mut reread = Delay::default();
    // Revisions of the value that was last applied and of the value last read.
    let (mut applied, mut last_read) = (0, 0);
    let mut refused = None;
    loop {
        let wait = match last_read > applied {
            true => next_delay(&mut reread),
            false => WATCH_TIMEOUT,
        };
        match platform.watch(key, last_read, wait).await {
            Ok(Some(value)) => {
                delay.reset();
                last_read = value.revision;
                if refused.as_ref() == Some(&value.bytes) {
                    continue;
                }
                match apply(context, platform, key, value.bytes.as_deref()).await {
                    ApplyOutcome::Settled => {
                        applied = last_read;
                        refused = None;
                        reread.reset();
                    }
                    ApplyOutcome::Refused => refused = Some(value.bytes),
                    ApplyOutcome::Torn => refused = None,
                }
            }
            Ok(None) => {
                delay.reset();
                last_read = applied;
            }
            Err(error) => {
                log::warn!("cannot watch the platform's value `{key}`: {error}");
                tokio::time::sleep(next_delay(&mut delay).min(MAX_WATCH_RETRY_DELAY)).await;
            }
        }
    }
}

/// Reads the current revision of a value and applies it.
async fn read_and_apply(context: &Arc<Context>, platform: &Platform, key: &str) {
    match platform.read(key).await {
        Ok(value) => {
            apply(context, platform, key, value.bytes.as_deref()).await;
        }
        Err(error) => log::warn!("cannot read the platform's value `{key}`: {error}"),
    }
}

/// Offers the content of a value for adoption and records a refusal in the
/// audit trail. `bytes` is `None` for a value above [`MAX_VALUE_BYTES`].
async fn apply(
    context: &Arc<Context>,
    platform: &Platform,
    key: &str,
    bytes: Option<&[u8]>,
) -> ApplyOutcome {
    let refused = |reason: String| {
        context.trail.record(Event::Refused {
            source: PLATFORM_SOURCE.into(),
            reason,
        });
        ApplyOutcome::Refused
    };
    let Some(bytes) = bytes else {
        return refused(format!("{key}: larger than {MAX_VALUE_BYTES} bytes"));
    };
    if key == HOSTS_KEY {
        return match hosts::parse(bytes) {
            Ok(list) => {
                context
                    .config
                    .offer_list(&context.trail, list, PLATFORM_SOURCE);
                quota::on_host_list(context);
                ApplyOutcome::Settled
            }
            Err(fault) => refused(format!("host list: {fault}")),
        };
    }
    match Manifest::parse(bytes) {
        Ok(manifest) => fetch_document(context, platform, &manifest).await,
        Err(fault) => refused(format!("manifest: {fault}")),
    }
}

/// Reads the parts of a manifest and offers the document, unless a peer
/// delivers the version first.
async fn fetch_document(
    context: &Arc<Context>,
    platform: &Platform,
    manifest: &Manifest,
) -> ApplyOutcome {
    let rank = context.peers.view().reader_rank(&manifest.version());
    if context.settings.readers == Readers::Ranked {
        // A host that is not a reader reads immediately: it is starting and has
        // found no peer.
        let wait = RANK_DELAY * rank.unwrap_or(0) as u32;
        let mut current = context.config.subscribe();
        let delivered = current.wait_for(|current| current.version >= Some(manifest.version()));
        let _ = tokio::time::timeout(wait, delivered).await;
    }
    if !context.config.should_fetch(manifest) {
        return ApplyOutcome::Settled;
    }
    let mut parts = Vec::new();
    for part in &manifest.parts {
        match platform.read(&part.key).await {
            Ok(Value {
                bytes: Some(bytes), ..
            }) => parts.push(bytes),
            Ok(_) => log::warn!(
                "the platform's value `{}` is larger than {MAX_VALUE_BYTES} bytes",
                part.key
            ),
            Err(error) => log::warn!("cannot read the platform's value `{}`: {error}", part.key),
        }
    }
    let borrowed: Vec<&[u8]> = parts.iter().map(|part| part.as_ref()).collect();
    let outcome = context
        .config
        .offer(&context.trail, PLATFORM_SOURCE, |store| {
            store.offer_parts(manifest, &borrowed)
        });
    match outcome {
        Outcome::Torn { .. } => ApplyOutcome::Torn,
        // The hashes of the parts matched, so another read would return the
        // same content.
        _ => ApplyOutcome::Settled,
    }
}

impl Platform {
    fn new(addresses: &[SocketAddr]) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(1)));
        Self {
            addresses: addresses.to_vec(),
            client: Client::builder(TokioExecutor::new())
                .pool_idle_timeout(Duration::from_secs(1))
                .pool_timer(TokioTimer::new())
                .build(connector),
        }
    }

    /// Returns the current value of `key`.
    async fn read(&self, key: &str) -> Result<Value, Failure> {
        let path = format!("/v1/values/{key}");
        let value = self.get(&path, Duration::from_secs(2)).await?;
        value.ok_or_else(|| "the platform has no such value".into())
    }

    /// Waits at most `wait` for a revision of `key` that is greater than
    /// `after`. Returns `None` if there is none.
    async fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Value>, Failure> {
        let ms = wait.as_millis();
        let path = format!("/v1/values/{key}?after={after}&wait_ms={ms}");
        self.get(&path, wait + Duration::from_secs(2)).await
    }

    /// Sends a GET request to the addresses in turn until one answers. Returns
    /// `None` if the value has not changed.
    async fn get(&self, path: &str, timeout: Duration) -> Result<Option<Value>, Failure> {
        let mut failure: Failure = "no address of the platform is configured".into();
        for address in &self.addresses {
            match tokio::time::timeout(timeout, self.get_from(*address, path)).await {
                Ok(Ok(value)) => return Ok(value),
                Ok(Err(error)) => failure = error,
                Err(_) => failure = "the platform did not answer in time".into(),
            }
        }
        Err(failure)
    }

    async fn get_from(&self, address: SocketAddr, path: &str) -> Result<Option<Value>, Failure> {
        let request = Request::get(format!("http://{address}{path}")).body(Empty::new())?;
        let answer = self.client.request(request).await?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::NOT_MODIFIED => return Ok(None),
            status => return Err(format!("the platform answered with status {status}").into()),
        }
        let revision = answer
            .headers()
            .get("platform-revision")
            .ok_or("the platform's answer has no header `platform-revision`")?
            .to_str()?
            .parse()?;
        let body = Limited::new(answer.into_body(), MAX_VALUE_BYTES);
        let bytes = match body.collect().await {
            Ok(body) => Some(body.to_bytes()),
            Err(error) if error.is::<LengthLimitError>() => None,
            Err(error) => return Err(error),
        };
        Ok(Some(Value { revision, bytes }))
    }
}
