//! Collection of the results of many daemons on an operator's request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::future::BoxFuture;
use savorylane_wire::operator::{Outcome, Scope, Summary};
use savorylane_wire::rpc::ControlClient;

use crate::edge::control::client;
use crate::kernel::Context;
use crate::results::WINDOW_S;

/// Time for which a collected summary is reused, so that the cost does not
/// depend on the rate of operators' requests.
const MAX_CACHE_AGE: Duration = Duration::from_secs(5);
/// Maximum number of daemons that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 16;
/// Timeout of a query for the results of one host.
const HOST_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a query for the results of a data centre.
const DATA_CENTRE_TIMEOUT: Duration = Duration::from_secs(4);

/// Recently collected summaries by scope.
#[derive(Debug, Default)]
pub struct Cache(Mutex<BTreeMap<u8, (Instant, Summary)>>);

/// Returns the results of all daemons in a scope. For the fleet, one reader of
/// each data centre is queried; for a data centre, each of its hosts.
pub fn collect(context: &Arc<Context>, scope: Scope) -> BoxFuture<'_, Summary> {
    Box::pin(async move {
        if scope == Scope::Host {
            return own_results(context);
        }
        let key = scope as u8;
        let cached = {
            let cache = context.summaries.0.lock();
            let cache = cache.unwrap_or_else(PoisonError::into_inner);
            cache.get(&key).cloned()
        };
        if let Some((at, summary)) = cached
            && at.elapsed() < MAX_CACHE_AGE
        {
            return summary;
        }
        let summary = match scope {
            Scope::Host | Scope::DataCentre => query_data_centre(context).await,
            Scope::Fleet => query_fleet(context).await,
        };
        let cache = context.summaries.0.lock();
        cache
            .unwrap_or_else(PoisonError::into_inner)
            .insert(key, (Instant::now(), summary.clone()));
        summary
    })
}

/// Returns the results of this daemon.
fn own_results(context: &Context) -> Summary {
    let snapshot = context.config.snapshot();
    let outcomes = snapshot.map(|snapshot| context.results.outcomes(&snapshot));
    Summary {
        window_s: WINDOW_S,
        daemons: 1,
        missing: 0,
        outcomes: outcomes.unwrap_or_default(),
    }
}

/// Queries each other host of this daemon's data centre.
async fn query_data_centre(context: &Arc<Context>) -> Summary {
    let settings = &context.settings;
    let list = context.config.list();
    let hosts = list.iter().flat_map(|list| &list.hosts);
    let others = hosts
        .filter(|host| host.data_centre == settings.data_centre && host.name != settings.host)
        .map(|host| vec![host.control]);
    query(context, others.collect(), Scope::Host, own_results(context)).await
}

/// Queries one reader of each other data centre.
async fn query_fleet(context: &Arc<Context>) -> Summary {
    let list = context.config.list();
    let hosts = list.iter().flat_map(|list| &list.hosts);
    let mut centres: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
    for host in hosts {
        if host.data_centre != context.settings.data_centre {
            centres.entry(host.data_centre.clone()).or_default();
        }
    }
    for (centre, addresses) in &mut centres {
        let readers = context.peers.view().readers(centre);
        let found = readers
            .iter()
            .filter_map(|reader| crate::peers::control_address(context, reader));
        addresses.extend(found);
    }
    let own = collect(context, Scope::DataCentre).await;
    let others = centres.into_values().collect();
    query(context, others, Scope::DataCentre, own).await
}

/// Queries the daemons of each group in turn until one answers, and adds the
/// answers to `summary`.
async fn query(
    context: &Arc<Context>,
    groups: Vec<Vec<SocketAddr>>,
    scope: Scope,
    mut summary: Summary,
) -> Summary {
    let timeout = match scope {
        Scope::Host => HOST_TIMEOUT,
        Scope::DataCentre | Scope::Fleet => DATA_CENTRE_TIMEOUT,
    };
    let answers = futures::stream::iter(groups).map(|group| async move {
        for address in group {
            let client = client(context, address);
            let query = tokio::time::timeout(timeout, client.summary(scope));
            if let Ok(Ok(answer)) = query.await {
                return Some(answer);
            }
        }
        None
    });
    let mut answers = answers.buffer_unordered(MAX_CONCURRENT_QUERIES);
    while let Some(answer) = answers.next().await {
        match answer {
            Some(answer) => merge(&mut summary, answer),
            None => summary.missing += 1,
        }
    }
    summary
}

/// Adds the results of other daemons to `summary`.
fn merge(summary: &mut Summary, other: Summary) {
    summary.daemons += other.daemons;
    summary.missing += other.missing;
    for outcome in other.outcomes {
        let same = |known: &&mut Outcome| known.class == outcome.class;
        match summary.outcomes.iter_mut().find(same) {
            Some(known) => {
                known.requests += outcome.requests;
                known.succeeded += outcome.succeeded;
                known.in_time += outcome.in_time;
            }
            None => summary.outcomes.push(outcome),
        }
    }
}
