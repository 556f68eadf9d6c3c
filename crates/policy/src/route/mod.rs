//! Choice of the host that serves a request.

mod estimate;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use savorylane_intent::document;

use estimate::micros;
pub use estimate::{Estimate, Observation, Outcome, Ticket};

/// A host whose latency is this many times the median is slow.
const SLOW_RATIO: f64 = 2.5;
/// The oldest unanswered request counts from this many medians on; of
/// exponential service times 1 in 20 takes longer.
const OLDEST_RATIO: f64 = 3.0;
/// A slow host is probed at most this often by one entry.
const PROBE_INTERVAL_US: u64 = 100_000;
/// Latency that is assumed before the first answer of any host, microseconds.
const LATENCY_PRIOR_US: f64 = 5_000.0;
/// Limit that is assumed before the first report.
const LIMIT_PRIOR: f64 = 4.0;
/// A farther host must be cheaper by this share and by [`SPILL_GAIN_MIN_US`].
const SPILL_SHARE_MIN: f64 = 0.25;
/// Least gain for which a request goes farther, microseconds.
const SPILL_GAIN_MIN_US: f64 = 1_000.0;

/// How far a host is from the daemon that chooses.
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
    /// Returns the round-trip time that is assumed for the distance.
    pub fn round_trip(self) -> Duration {
        match self {
            Self::Host => Duration::ZERO,
            Self::DataCentre => Duration::from_micros(300),
            Self::Region => Duration::from_millis(3),
            Self::Far => Duration::from_millis(40),
        }
    }

    /// Hosts of one data centre compete without a margin.
    fn rank(self) -> u8 {
        match self {
            Self::Host | Self::DataCentre => 0,
            Self::Region => 1,
            Self::Far => 2,
        }
    }
}

/// How hosts are chosen. All but [`Policy::Savorylane`] are baselines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The one of two random hosts with fewer own requests in flight.
    LeastOutstanding,
    /// A random host.
    Random,
    /// Each host in turn.
    RoundRobin,
    /// The host with the lowest expected cost.
    #[default]
    Savorylane,
}

/// A host that may serve the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What is known of the host.
    pub estimate: &'a Estimate,
    /// How far it is.
    pub distance: Distance,
}

/// What a choice depends on beside the candidates.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// How hosts are chosen.
    pub policy: Policy,
    /// Next turn of [`Policy::RoundRobin`]; one counter per service.
    pub turn: &'a AtomicUsize,
    /// Length of the request.
    pub length: document::Work,
    /// Whether the request may probe a slow host: it may be hedged
    /// ([`may_hedge`](crate::retry::may_hedge)) and its class has a hedge
    /// left ([`Budget::available`](crate::retry::Budget::available)).
    pub may_probe: bool,
    /// Time that remains until the target of the class is missed.
    pub slack: Duration,
}

/// The host that serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Index of the candidate.
    pub index: usize,
    /// Set when the request probes a slow host: without an answer after
    /// `after`, send it to candidate `index` too and take the first answer.
    /// The entry must not cancel the probe by then, so that it measures the
    /// host.
    pub hedge: Option<Hedge>,
}

/// Second host of a request that probes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hedge {
    /// Index of the candidate.
    pub index: usize,
    /// Wait before the second request.
    pub after: Duration,
}

/// Cost of one candidate, microseconds.
#[derive(Clone, Copy, Debug)]
struct Cost {
    index: usize,
    rank: u8,
    cost: f64,
    slow: bool,
}

/// Returns the candidate that serves the request at `now`, or `None` if there
/// is none that does not leave.
pub fn choose<R: Rng>(
    context: &Context<'_>,
    now: Duration,
    rng: &mut R,
    candidates: &[Candidate<'_>],
) -> Option<Choice> {
    let usable = usable(now, rng, candidates, context.policy);
    if usable.is_empty() {
        return None;
    }
    let pick = |rng: &mut R| usable[rng.random_range(0..usable.len())];
    let index = match context.policy {
        Policy::Savorylane => return Some(choose_by_cost(context, now, rng, candidates, &usable)),
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
    Some(Choice { index, hedge: None })
}

/// Returns the candidates that neither leave nor are backed off. When all
/// are backed off, those that do not leave are tried all the same.
fn usable<R: Rng>(
    now: Duration,
    rng: &mut R,
    candidates: &[Candidate<'_>],
    policy: Policy,
) -> Vec<usize> {
    let not_leaving = (0..candidates.len())
        .filter(|index| !candidates[*index].estimate.leaving())
        .collect::<Vec<_>>();
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
    // A fresh host takes part in a share of the choices. Shares are relative,
    // so that hosts that all are fresh serve everything.
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
        .map(|index| cost(context, now, &candidates[*index], *index, median))
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

/// Returns the latency without the round trip, if one was measured.
fn latency_us(context: &Context<'_>, candidate: &Candidate<'_>) -> Option<f64> {
    let response = candidate.estimate.response_time(context.length)?;
    let latency = response.saturating_sub(candidate.distance.round_trip());
    Some((latency.as_micros() as f64).max(100.0))
}

/// Returns the lower median of the candidates' latencies.
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

fn cost(
    context: &Context<'_>,
    now: Duration,
    candidate: &Candidate<'_>,
    index: usize,
    median: f64,
) -> Cost {
    let estimate = candidate.estimate;
    let round_trip = candidate.distance.round_trip().as_micros() as f64;
    let mut service = median;
    // Noise of single answers must not spread the load unevenly, so a host
    // counts as fast as the median unless it is clearly slow.
    let measured = latency_us(context, candidate).unwrap_or(median);
    if measured > SLOW_RATIO * median && !estimate.latency_is_stale(now) {
        service = measured;
    }
    let oldest = estimate.oldest_age(now).unwrap_or_default().as_micros() as f64 - round_trip;
    if oldest > OLDEST_RATIO * median {
        service = service.max(oldest);
    }
    let slow = service > median || estimate.failing();
    let limit = estimate.limit().unwrap_or(LIMIT_PRIOR);
    let outstanding = estimate.outstanding(now);
    let queued = (outstanding + 1.0 - limit).max(0.0);
    // Other entries choose at the same moment, so a wait becomes likely before
    // the last slot is taken.
    let fill = outstanding / limit;
    let wait = service * (queued / limit + 0.25 * fill * fill);
    Cost {
        index,
        rank: candidate.distance.rank(),
        cost: round_trip + wait + service,
        slow,
    }
}

/// Returns the nearest candidate, unless a farther one is cheaper by the
/// margin or meets the target that the nearer one misses.
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

fn near_or_far(near: Cost, far: Cost, slack: f64) -> Cost {
    let saves =
        far.cost < near.cost * (1.0 - SPILL_SHARE_MIN) && far.cost + SPILL_GAIN_MIN_US < near.cost;
    let rescues = near.cost > slack && far.cost <= slack;
    if saves || rescues { far } else { near }
}

/// Returns the lowest cost, ties broken at random.
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
