//! Selection of the host that serves a request.

mod estimate;
mod pace;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use savorylane_intent::document;

use estimate::micros;
pub use estimate::{Estimate, Observation, Outcome, Ticket};
pub use pace::Mean;

/// Ratio of a host's latency to the median above which the host is slow.
const SLOW_RATIO: f64 = 2.5;
/// Ratio of the age of a host's oldest unanswered request to the median
/// latency above which the age counts as the host's latency. Of exponential
/// service times, 1 in 20 exceeds three times the mean.
const OVERDUE_RATIO: f64 = 3.0;
/// Minimum interval between two probes of a slow host, or of a leaving one if
/// all hosts are leaving, by one entry.
const PROBE_INTERVAL_US: u64 = 100_000;
/// Latency assumed before any host answered, in microseconds.
const LATENCY_PRIOR_US: f64 = 5_000.0;
/// Concurrency limit assumed before the first load report of a host.
const LIMIT_PRIOR: f64 = 4.0;
/// Time for which an idle connection to a host stays open. A request to a host
/// without one waits a round trip longer.
pub const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Share of the time until the target that a near host may be expected to take
/// for a request to stay near even if a farther host would answer sooner. Links
/// between data centres are paid by the byte, and callers gain nothing from an
/// answer that is in time either way. The other half covers the variance of
/// waits and service times.
const COMFORTABLE_SHARE: f64 = 0.5;
/// Share of the near host's cost that a farther host must save, in addition to
/// [`MIN_SPILL_GAIN_US`], for a request to spill over to it.
const MIN_SPILL_GAIN_SHARE: f64 = 0.25;
/// Cost in microseconds that a farther host must save for a request to spill
/// over to it.
const MIN_SPILL_GAIN_US: f64 = 1_000.0;

/// Network distance of a host from the daemon that chooses.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The daemon's own host.
    Host,
    /// Another host of the same data centre.
    DataCentre,
    /// Another data centre of the same region.
    Region,
    /// Another region.
    Far,
}

impl Distance {
    /// Returns the round-trip time assumed for the distance.
    pub fn round_trip(self) -> Duration {
        match self {
            Self::Host => Duration::ZERO,
            Self::DataCentre => Duration::from_micros(300),
            Self::Region => Duration::from_millis(3),
            Self::Far => Duration::from_millis(40),
        }
    }

    /// Returns the name of the distance in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::DataCentre => "data-centre",
            Self::Region => "region",
            Self::Far => "far",
        }
    }

    /// Returns the rank of the distance. Hosts of equal rank compete on cost
    /// alone, as those of one data centre do; a host of higher rank has to be
    /// cheaper by a margin.
    fn rank(self) -> u8 {
        match self {
            Self::Host | Self::DataCentre => 0,
            Self::Region => 1,
            Self::Far => 2,
        }
    }
}

/// Load-balancing policy. All but [`Policy::Savorylane`] are baselines for
/// comparison.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Picks two random hosts and chooses the one with fewer requests of this
    /// daemon in flight.
    LeastOutstanding,
    /// Chooses a host at random.
    Random,
    /// Chooses the hosts in turn.
    RoundRobin,
    /// Chooses the host with the lowest expected cost.
    #[default]
    Savorylane,
}

/// A host that may serve the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Estimated load and latency of the host.
    pub estimate: &'a Estimate,
    /// Distance of the host.
    pub distance: Distance,
}

/// Inputs of a choice other than the candidates.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Load-balancing policy.
    pub policy: Policy,
    /// Counter of [`Policy::RoundRobin`], one per service.
    pub turn: &'a AtomicUsize,
    /// Whether the class is declared as short or long work.
    pub length: document::Work,
    /// Whether the request may probe a slow host: it may be hedged
    /// ([`may_hedge`](crate::retry::may_hedge)) and the hedge budget of its
    /// class is not exhausted
    /// ([`Budget::available`](crate::retry::Budget::available)).
    pub may_probe: bool,
    /// Time left until the request misses the latency target of its class.
    pub slack: Duration,
    /// Mean time in which hosts answer requests of the class, less the round
    /// trip; `None` before the first answer.
    pub mean: Option<Duration>,
}

/// Chosen host of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Index of the chosen candidate.
    pub index: usize,
    /// Hedge of a request that probes a slow host, otherwise `None`.
    ///
    /// If the probed host has not answered after [`Hedge::after`], the request
    /// is also sent to candidate [`Hedge::index`], and the first answer is
    /// used. The entry must not cancel the probe then, so that its response
    /// time is measured.
    pub hedge: Option<Hedge>,
}

/// Second host of a request that probes a slow host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hedge {
    /// Index of the candidate.
    pub index: usize,
    /// Delay before the request is sent to it.
    pub after: Duration,
}

/// Expected cost of one candidate, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Cost {
    index: usize,
    rank: u8,
    cost: f64,
    /// Whether fewer requests wait at the host than half of its slots.
    has_room: bool,
    /// Whether the expected service time exceeds the median, or a request to
    /// the host failed since its last answer.
    slow: bool,
}

/// Chooses the candidate that serves a request at `now`. Returns `None` if
/// there is no candidate, or if all of them are leaving and none is due for a
/// probe.
pub fn choose<R: Rng>(
    context: &Context<'_>,
    now: Duration,
    rng: &mut R,
    candidates: &[Candidate<'_>],
) -> Option<Choice> {
    let usable = usable_indices(now, rng, candidates, context.policy);
    if usable.is_empty() {
        return None;
    }
    let pick = |rng: &mut R| usable[rng.random_range(0..usable.len())];
    let index = match context.policy {
        Policy::Savorylane => {
            let choice = choose_by_cost(context, now, rng, candidates, &usable);
            candidates[choice.index].estimate.record_recheck(now);
            return Some(choice);
        }
        Policy::Random => pick(rng),
        Policy::RoundRobin => usable[context.turn.fetch_add(1, Ordering::Relaxed) % usable.len()],
        Policy::LeastOutstanding => {
            let (first, second) = (pick(rng), pick(rng));
            let in_flight = |index: usize| candidates[index].estimate.in_flight();
            if in_flight(second) < in_flight(first) {
                second
            } else {
                first
            }
        }
    };
    candidates[index].estimate.record_recheck(now);
    Some(Choice { index, hedge: None })
}

/// Returns the indices of the candidates that are neither leaving nor backed
/// off. If all are backed off, returns all that are not leaving. If all are
/// leaving, returns the one that is due for a probe, if any: a service must not
/// be refused on the strength of old reports alone.
///
/// Under [`Policy::Savorylane`], hosts in slow start are included at random,
/// in proportion to their share.
fn usable_indices<R: Rng>(
    now: Duration,
    rng: &mut R,
    candidates: &[Candidate<'_>],
    policy: Policy,
) -> Vec<usize> {
    let not_leaving = (0..candidates.len())
        .filter(|index| !candidates[*index].estimate.must_avoid_leaving(now))
        .collect::<Vec<_>>();
    if not_leaving.is_empty() {
        return due_leaving_index(now, candidates).into_iter().collect();
    }
    let healthy = not_leaving
        .iter()
        .copied()
        .filter(|index| !candidates[*index].estimate.backed_off(now))
        .collect::<Vec<_>>();
    if healthy.is_empty() {
        return not_leaving;
    }
    if policy != Policy::Savorylane {
        return healthy;
    }
    // A host in slow start takes part in a share of the choices. Shares are
    // relative to the greatest one, so that the hosts still serve all requests
    // if every one of them is in slow start.
    let share = |index: usize| candidates[index].estimate.slow_start_share(now);
    let greatest = healthy
        .iter()
        .map(|index| share(*index))
        .fold(0.0, f64::max);
    healthy
        .into_iter()
        .filter(|index| {
            let share = share(*index) / greatest;
            share >= 1.0 || rng.random::<f64>() < share
        })
        .collect()
}

/// Returns the leaving candidate whose report is the oldest among those that
/// are due for a probe.
fn due_leaving_index(now: Duration, candidates: &[Candidate<'_>]) -> Option<usize> {
    (0..candidates.len())
        .filter(|index| {
            let estimate = candidates[*index].estimate;
            estimate.may_recheck(now, PROBE_INTERVAL_US)
        })
        .min_by_key(|index| candidates[*index].estimate.reported_us())
}

/// Chooses by expected cost, or probes a slow host that is due for a probe.
fn choose_by_cost<R: Rng>(
    context: &Context<'_>,
    now: Duration,
    rng: &mut R,
    candidates: &[Candidate<'_>],
    usable: &[usize],
) -> Choice {
    let median = median_latency_us(context, candidates, usable);
    let costs = usable
        .iter()
        .map(|index| expected_cost(context, now, &candidates[*index], *index, median))
        .collect::<Vec<_>>();
    let best = prefer_nearest(context, rng, &costs);
    let choice = Choice {
        index: best.index,
        hedge: None,
    };
    if !context.may_probe {
        return choice;
    }
    let due = |cost: &&Cost| {
        let estimate = candidates[cost.index].estimate;
        cost.slow
            && cost.index != best.index
            && estimate.in_flight() == 0
            && micros(now) >= estimate.probed_us.load(Ordering::Relaxed) + PROBE_INTERVAL_US
    };
    let Some(slow) = costs.iter().find(due) else {
        return choice;
    };
    candidates[slow.index]
        .estimate
        .probed_us
        .store(micros(now), Ordering::Relaxed);
    Choice {
        index: slow.index,
        hedge: Some(Hedge {
            index: best.index,
            after: Duration::from_micros(median as u64)
                + candidates[slow.index].distance.round_trip(),
        }),
    }
}

/// Returns the time that the host is expected to take for a request of the
/// class, at least 100, in microseconds: by its pace, or else by its response
/// time less the round trip. Returns `None` if neither was measured.
fn latency_us(context: &Context<'_>, candidate: &Candidate<'_>) -> Option<f64> {
    let paced = context
        .mean
        .and_then(|mean| candidate.estimate.paced_us(mean));
    if let Some(us) = paced {
        return Some(us.max(100.0));
    }
    let response = candidate.estimate.response_time(context.length)?;
    let latency = response.saturating_sub(candidate.distance.round_trip());
    Some((latency.as_micros() as f64).max(100.0))
}

/// Returns the lower median of the candidates' latencies in microseconds, or
/// [`LATENCY_PRIOR_US`] if none was measured.
fn median_latency_us(context: &Context<'_>, candidates: &[Candidate<'_>], usable: &[usize]) -> f64 {
    let mut known = usable
        .iter()
        .filter_map(|index| latency_us(context, &candidates[*index]))
        .collect::<Vec<_>>();
    if known.is_empty() {
        return LATENCY_PRIOR_US;
    }
    known.sort_by(f64::total_cmp);
    known[(known.len() - 1) / 2]
}

/// Returns the expected cost of one candidate: round trip, wait and service,
/// and another round trip if no connection to the host is open.
///
/// The time to connect also keeps the spill-over of an entry on the few far
/// hosts that it used last, under a load at which each pair of hosts exchanges
/// less than one request in [`CONNECTION_IDLE_TIMEOUT`].
fn expected_cost(
    context: &Context<'_>,
    now: Duration,
    candidate: &Candidate<'_>,
    index: usize,
    median: f64,
) -> Cost {
    let estimate = candidate.estimate;
    let round_trip = candidate.distance.round_trip().as_micros() as f64;
    let connect = match estimate.is_connected(now) {
        true => 0.0,
        false => round_trip,
    };
    let mut service = median;
    // A host is assumed to be as fast as the median unless it is clearly slow,
    // so that noise in single answers does not unbalance the load.
    let measured = latency_us(context, candidate).unwrap_or(median);
    if measured > SLOW_RATIO * median && !estimate.latency_is_stale(now) {
        service = measured;
    }
    let oldest = estimate.oldest_age(now).unwrap_or_default().as_micros() as f64 - round_trip;
    if oldest > OVERDUE_RATIO * median {
        service = service.max(oldest);
    }
    let slow = service > median || estimate.failing();
    let limit = estimate.limit().unwrap_or(LIMIT_PRIOR);
    let outstanding = estimate.outstanding(now);
    let queued = (outstanding + 1.0 - limit).max(0.0);
    // Other entries choose concurrently, so a wait becomes likely before the
    // last slot is taken.
    let fill = outstanding / limit;
    let wait = service * (queued / limit + 0.25 * fill * fill);
    Cost {
        index,
        rank: candidate.distance.rank(),
        has_room: queued <= limit / 2.0,
        cost: connect + round_trip + wait + service,
        slow,
    }
}

/// Returns the cheapest of the nearest candidates, unless a farther candidate
/// is cheaper by a margin or meets a target that the near one misses.
fn prefer_nearest<R: Rng>(context: &Context<'_>, rng: &mut R, costs: &[Cost]) -> Cost {
    let slack = context.slack.as_micros() as f64;
    let mut chosen = None;
    for rank in 0..=2 {
        let Some(cheapest) = lowest_cost(rng, costs.iter().filter(|cost| cost.rank == rank)) else {
            continue;
        };
        chosen = match chosen {
            None => Some(cheapest),
            Some(near) => Some(near_or_far(near, cheapest, slack)),
        };
    }
    chosen.unwrap_or(costs[0])
}

/// Returns `near` if it has room and is expected to meet the target comfortably.
/// Otherwise returns `far` if its cost is lower by both margins or if only `far` meets the
/// target, else `near`. `slack` is the time until the target in microseconds.
fn near_or_far(near: Cost, far: Cost, slack: f64) -> Cost {
    if near.has_room && near.cost <= slack * COMFORTABLE_SHARE {
        return near;
    }
    let saves = far.cost < near.cost * (1.0 - MIN_SPILL_GAIN_SHARE)
        && far.cost + MIN_SPILL_GAIN_US < near.cost;
    let rescues = near.cost > slack && far.cost <= slack;
    if saves || rescues { far } else { near }
}

/// Returns the lowest of `costs`, with ties broken at random.
fn lowest_cost<'a, R: Rng>(rng: &mut R, costs: impl Iterator<Item = &'a Cost>) -> Option<Cost> {
    let mut chosen: Option<Cost> = None;
    let mut ties = 0;
    for cost in costs {
        match chosen {
            Some(known) if cost.cost > known.cost => continue,
            Some(known) if cost.cost == known.cost => ties += 1,
            _ => ties = 1,
        }
        if ties == 1 || rng.random_range(0..ties) == 0 {
            chosen = Some(*cost);
        }
    }
    chosen
}
