//! Edge towards the platform, which can be read and watched only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use savorylane_intent::{Manifest, hosts};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::audit::Event;
use crate::kernel::{Context, Plugin};

/// Key of the manifest.
const INTENT: &str = "intent";
/// Key of the host list.
const HOSTS: &str = "hosts";
/// Time that a watch waits at the platform.
const WATCH: Duration = Duration::from_secs(30);
/// Wait after a failed read.
const RETRY: Duration = Duration::from_millis(500);
/// Largest value that is read, bytes; the platform holds up to a megabyte.
const VALUE_BYTES: usize = 1 << 20;

inventory::submit! {
    Plugin { name: "platform", order: 10, port: None, run }
}

/// A value and its revision.
struct Value {
    revision: u64,
    bytes: Bytes,
}

/// Why a read gave no value.
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
        if context.settings.platform.is_empty() {
            return;
        }
        let intent = watch(&context, INTENT);
        let hosts = watch(&context, HOSTS);
        tokio::select! {
            _ = futures::future::join(intent, hosts) => {}
            () = stop.cancelled() => {}
        }
    })
}

async fn watch(context: &Context, key: &str) {
    let platform = Platform::new(&context.settings.platform);
    let mut revision = 0;
    loop {
        match platform.watch(key, revision).await {
            Ok(None) => {}
            Ok(Some(value)) => {
                revision = value.revision;
                take(context, &platform, key, &value.bytes).await;
            }
            Err(error) => {
                log::warn!("cannot watch {key} at the platform: {error}");
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

async fn take(context: &Context, platform: &Platform, key: &str, bytes: &Bytes) {
    let result = match key {
        HOSTS => match hosts::parse(bytes) {
            Ok(list) => {
                context.config.offer_hosts(&context.trail, list, "platform");
                Ok(())
            }
            Err(fault) => Err((String::new(), fault.to_string())),
        },
        _ => read_document(context, platform, bytes).await,
    };
    if let Err((version, reason)) = result {
        context.trail.record(Event::Refused {
            version,
            source: "platform".into(),
            reason,
        });
    }
}

async fn read_document(
    context: &Context,
    platform: &Platform,
    bytes: &Bytes,
) -> Result<(), (String, String)> {
    let manifest = Manifest::parse(bytes).map_err(|fault| (String::new(), fault.to_string()))?;
    let version = manifest.version();
    if context.config.version() >= Some(version) {
        return Ok(());
    }
    let failed = |reason: String| (version.to_string(), reason);
    let mut parts = Vec::new();
    for part in &manifest.parts {
        match platform.read(&part.key).await {
            Ok(value) => parts.push(value.bytes),
            Err(error) => return Err(failed(format!("part {}: {error}", part.key))),
        }
    }
    let borrowed: Vec<&[u8]> = parts.iter().map(|part| part.as_ref()).collect();
    let document = manifest
        .join(&borrowed)
        .map_err(|fault| failed(fault.to_string()))?;
    context
        .config
        .offer_document(&context.trail, document, "platform");
    Ok(())
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

    async fn read(&self, key: &str) -> Result<Value, Failure> {
        let path = format!("/v1/values/{key}");
        let value = self.get(&path, Duration::from_secs(2)).await?;
        value.ok_or_else(|| "no such value".into())
    }

    /// Waits until the value of `key` has a revision above `after`.
    async fn watch(&self, key: &str, after: u64) -> Result<Option<Value>, Failure> {
        let wait = WATCH.as_millis();
        let path = format!("/v1/values/{key}?after={after}&wait_ms={wait}");
        self.get(&path, WATCH + Duration::from_secs(2)).await
    }

    async fn get(&self, path: &str, limit: Duration) -> Result<Option<Value>, Failure> {
        let mut failure: Failure = "no address of the platform is set".into();
        for address in &self.addresses {
            match tokio::time::timeout(limit, self.get_from(*address, path)).await {
                Ok(Ok(value)) => return Ok(value),
                Ok(Err(error)) => failure = error,
                Err(_) => failure = "no answer in time".into(),
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
            status => return Err(format!("the platform answered {status}").into()),
        }
        let revision = answer
            .headers()
            .get("platform-revision")
            .ok_or("the platform named no revision")?
            .to_str()?
            .parse()?;
        let body = Limited::new(answer.into_body(), VALUE_BYTES);
        let bytes = body.collect().await?.to_bytes();
        Ok(Some(Value { revision, bytes }))
    }
}
