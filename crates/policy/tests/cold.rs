//! Tests of the limit of requests to a cold upstream.

use std::time::Duration;

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use savorylane_intent::document::Work;
use savorylane_policy::cold::{Limits, MAX_SILENCE, Periods, Sign, Slowdown};
use savorylane_policy::gate::{Action, Decision, Gate, Outcome, Reason, Request};

/// Number of requests a second that the cold upstreams of the tests tolerate.
const RATE: usize = 11;
/// Stated maximum of the requests to a cold upstream in one second: one and a
/// half times the rate, and eight.
const MAX_PER_S: usize = RATE * 3 / 2 + 8;
const SLOTS: usize = 6;
const LIMITS: Limits = Limits {
    duration: Duration::from_secs(3),
    requests_per_s: RATE,
    may_ask: true,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns a gate whose upstream is known to be warm.
fn warm_gate() -> Gate {
    let mut gate = Gate::with_prior(SLOTS, 0.25);
    gate.cold_mut().set_limits(ms(0), Some(LIMITS));
    gate.cold_mut().on_report(ms(0), Some(Duration::ZERO));
    gate
}

/// A gate with requests of a constant service time.
struct Run {
    gate: Gate,
    service: Duration,
    next_id: u64,
    /// End and id of each running request.
    running: Vec<(Duration, u64)>,
    starts: Vec<Duration>,
    refusals: Vec<Reason>,
}

impl Run {
    fn new(gate: Gate, service: Duration) -> Self {
        Self {
            gate,
            service,
            next_id: 0,
            running: Vec::new(),
            starts: Vec::new(),
            refusals: Vec::new(),
        }
    }

    fn start(&mut self, now: Duration, id: u64) {
        self.starts.push(now);
        self.running.push((now + self.service, id));
    }

    /// Lets a request arrive whose caller waits for one second and whose class
    /// has a target of 400 ms.
    fn arrive(&mut self, now: Duration) {
        self.next_id += 1;
        let request = Request {
            id: self.next_id,
            class: 1,
            length: Work::Short,
            shed_order: 0,
            deadline: now + ms(1_000),
            target: now + ms(400),
            caller: self.next_id,
            exclusive: false,
            late: false,
            stranger: false,
        };
        match self.gate.arrive(now, request) {
            Decision::Run => self.start(now, request.id),
            Decision::Refuse(reason) => self.refusals.push(reason),
            Decision::Wait => {}
        }
        self.act(now);
    }

    /// Ends requests and performs the actions that are due at `now`.
    fn act(&mut self, now: Duration) {
        let (ended, running) = self.running.iter().partition(|(end, _)| *end <= now);
        self.running = running;
        let ended: Vec<(Duration, u64)> = ended;
        for (_, id) in ended {
            self.gate.finish(now, id, Outcome::Answered);
        }
        while let Some(action) = self.gate.next_action(now) {
            match action {
                Action::Start(id) => self.start(now, id),
                Action::Refuse(_, reason) => self.refusals.push(reason),
            }
        }
    }

    /// Lets requests arrive evenly at `per_s` a second between two times, which
    /// are in milliseconds.
    fn load(&mut self, from: u64, to: u64, per_s: u64) {
        let mut sent = 0;
        for now in from..to {
            self.act(ms(now));
            while sent * 1_000 < (now - from + 1) * per_s {
                self.arrive(ms(now));
                sent += 1;
            }
        }
    }

    /// Returns the number of starts in a span, which is in milliseconds.
    fn started(&self, from: u64, to: u64) -> usize {
        let inside = |at: &&Duration| (ms(from)..ms(to)).contains(*at);
        self.starts.iter().filter(inside).count()
    }
}

/// Returns the greatest number of `starts` in any second that begins at or after
/// `from`.
fn most_per_s(starts: &[Duration], from: Duration) -> usize {
    let starts: Vec<Duration> = starts.iter().copied().filter(|at| *at >= from).collect();
    let within = |first: &Duration| {
        let in_second = |at: &&Duration| **at >= *first && **at <= *first + ms(1_000);
        starts.iter().filter(in_second).count()
    };
    starts.iter().map(within).max().unwrap_or(0)
}

/// Guards against a burst that crashes a cold upstream, and against callers of
/// a burst who wait for an upstream that cannot serve them in time.
#[test]
fn a_burst_at_a_cold_upstream_is_refused_at_once() {
    let mut run = Run::new(warm_gate(), ms(50));
    run.gate.cold_mut().on_entry(ms(0), ms(3_000));
    for _ in 0..100 {
        run.arrive(ms(10));
    }
    let refused = run.refusals.len();
    assert!(refused >= 100 - MAX_PER_S, "{refused} are refused at once");
    assert!(run.refusals.iter().all(|reason| *reason == Reason::Cold));
    run.load(11, 2_000, 0);
    assert!(most_per_s(&run.starts, ms(0)) <= RATE + 1);
    assert!(run.starts.len() >= RATE / 4, "some are served");
    assert_eq!(run.gate.cold().counts().refused as usize, refused);
}

/// Guards against a steady overload that crashes a cold upstream, and against a
/// cold upstream that gets less than it tolerates while others are in need.
#[test]
fn a_steady_overload_uses_the_rate_of_a_cold_upstream() {
    let mut run = Run::new(warm_gate(), ms(200));
    run.gate.cold_mut().on_entry(ms(0), ms(10_000));
    run.load(0, 10_000, 80);
    assert!(most_per_s(&run.starts, ms(0)) <= RATE + 1);
    let started = run.started(0, 9_000);
    assert!(started >= 9 * RATE * 9 / 10, "{started} started in 9 s");
}

/// Guards against requests that a cold upstream gets because those that it got
/// just before, while it was warm, are forgotten, and against a limit that
/// outlasts the cold start.
#[test]
fn the_limit_holds_from_the_border_of_warm_and_cold() {
    let mut run = Run::new(warm_gate(), ms(100));
    run.load(0, 2_000, 50);
    assert!(run.started(1_000, 2_000) >= 45);
    run.gate.cold_mut().on_entry(ms(2_000), ms(3_000));
    run.load(2_000, 5_000, 50);
    let cold: Vec<Duration> = run
        .starts
        .iter()
        .copied()
        .filter(|at| *at >= ms(2_000))
        .collect();
    assert!(most_per_s(&cold, ms(0)) <= RATE + 1);
    // The last second before the border already exceeds the rate.
    assert_eq!(run.started(2_000, 2_500), 0);
    run.load(5_000, 6_000, 50);
    assert!(
        run.started(5_000, 6_000) >= 45,
        "the warm upstream gets all"
    );
}

/// Guards against a daemon that restarts and forgets what its upstream got in
/// the last second, and against one that limits an upstream that stayed warm.
#[test]
fn a_restarted_daemon_limits_until_the_upstream_answers() {
    for stated in [ms(2_500), Duration::ZERO] {
        let mut before = Run::new(warm_gate(), ms(50));
        before.gate.cold_mut().on_entry(ms(0), ms(3_000));
        before.load(0, 500, 80);

        let mut gate = Gate::with_prior(SLOTS, 0.25);
        gate.cold_mut().set_limits(ms(500), Some(LIMITS));
        let mut after = Run::new(gate, ms(50));
        after.load(500, 600, 80);
        assert!(after.gate.cold().should_ask(ms(600)));
        after.gate.cold_mut().on_question(ms(600));
        assert!(!after.gate.cold().should_ask(ms(600)));
        after.gate.cold_mut().on_report(ms(601), Some(stated));
        after.load(601, 1_500, 80);
        if stated.is_zero() {
            assert!(after.started(601, 1_500) >= 60);
        } else {
            let all = [before.starts, after.starts].concat();
            assert!(most_per_s(&all, ms(0)) <= MAX_PER_S);
        }
    }
}

/// Guards against questions, which cost upstreams time, where the answer would
/// change nothing.
#[test]
fn an_upstream_is_asked_only_if_the_limit_delays_a_request() {
    let mut run = Run::new(warm_gate(), ms(20));
    run.load(0, 20_000, 8);
    assert_eq!(run.gate.cold().counts().delayed, 0);
    let idle_until = 20_000 + MAX_SILENCE.as_millis() as u64;
    run.load(idle_until, idle_until + 100, 20);
    assert!(run.gate.cold().is_limited(ms(idle_until + 100)));
    assert!(!run.gate.cold().should_ask(ms(idle_until + 100)));
    run.load(idle_until + 100, idle_until + 400, 80);
    assert!(run.gate.cold().should_ask(ms(idle_until + 400)));
    // Without an answer, the limit ends by itself after a few questions.
    let mut questions = 0;
    for now in idle_until + 400..idle_until + 5_000 {
        run.load(now, now + 1, 80);
        if run.gate.cold().should_ask(ms(now)) {
            run.gate.cold_mut().on_question(ms(now));
            run.gate.cold_mut().on_report(ms(now), None);
            questions += 1;
        }
    }
    assert!((1..=3).contains(&questions), "{questions} questions");
    assert!(!run.gate.cold().is_limited(ms(idle_until + 5_000)));
}

/// Guards against requests that are refused in the moment before a warm upstream
/// states that it is warm, as at the start of the traffic of a whole fleet.
#[test]
fn requests_wait_for_the_statement_of_the_upstream() {
    for (may_ask, stated) in [(true, Duration::ZERO), (true, ms(3_000)), (false, ms(0))] {
        let mut gate = Gate::with_prior(SLOTS, 0.25);
        let limits = Limits { may_ask, ..LIMITS };
        gate.cold_mut().set_limits(ms(0), Some(limits));
        let mut run = Run::new(gate, ms(20));
        run.load(10_000, 10_010, 1_000);
        assert_eq!(run.gate.cold().should_ask(ms(10_010)), may_ask);
        if !may_ask {
            assert!(!run.refusals.is_empty(), "no statement can come");
            continue;
        }
        assert!(run.refusals.is_empty(), "{:?}", run.refusals);
        run.gate.cold_mut().on_question(ms(10_010));
        run.gate.on_cold_report(ms(10_015), Some(stated));
        run.act(ms(10_015));
        let refused = run.refusals.len();
        run.load(10_016, 10_400, 0);
        assert_eq!(run.refusals.len(), refused, "refused at once or served");
        assert_eq!(run.starts.len() + refused, 10);
        assert_eq!(refused == 0, stated.is_zero(), "{refused} refused");
    }
}

/// Guards against the first burst after an outage, an evacuation or a silence,
/// which reaches an upstream that became cold meanwhile.
#[test]
fn each_sign_puts_the_limit_in_force() {
    let signs: [fn(&mut Gate, Duration); 3] = [
        |gate, now| {
            gate.close();
            gate.reopen(now);
        },
        |gate, now| gate.cold_mut().on_sign(now, Sign::Instance),
        |_, _| {},
    ];
    for sign in signs {
        let mut run = Run::new(warm_gate(), ms(20));
        run.load(0, 1_000, 40);
        run.act(ms(1_500));
        // Without another sign, the upstream was silent.
        sign(&mut run.gate, ms(4_000));
        run.load(4_000, 6_000, 80);
        assert!(most_per_s(&run.starts, ms(4_000)) <= RATE + 1);
        run.gate
            .cold_mut()
            .on_report(ms(6_000), Some(Duration::ZERO));
        run.load(6_000, 7_000, 40);
        assert!(run.started(6_000, 7_000) >= 36);
    }
}

/// Guards against a statement out of all proportion, which would keep an
/// upstream limited for good or end the process, and against a deployment
/// without limits that is limited.
#[test]
fn odd_times_are_bounded() {
    let mut gate = warm_gate();
    for (at, left) in [
        (0, Duration::MAX),
        (5_000, ms(1_000_000)),
        (10_000, ms(12_001)),
    ] {
        gate.cold_mut().on_entry(ms(at), left);
        assert!(gate.cold().is_limited(ms(at + 2_999)));
        assert!(!gate.cold().is_limited(ms(at + 3_000)));
        gate.cold_mut().on_report(ms(at + 3_500), Some(left));
        assert!(gate.cold().is_limited(ms(at + 4_000)));
        gate.cold_mut()
            .on_report(ms(at + 4_000), Some(Duration::ZERO));
        assert!(!gate.cold().is_limited(ms(at + 4_000)));
    }
    gate.cold_mut().on_entry(ms(20_000), ms(12_000));
    assert!(gate.cold().is_limited(ms(31_999)));

    let mut unlimited = Run::new(Gate::with_prior(SLOTS, 0.25), ms(50));
    unlimited.gate.cold_mut().on_entry(ms(0), ms(3_000));
    unlimited.gate.cold_mut().on_sign(ms(0), Sign::Reopened);
    unlimited.gate.cold_mut().on_report(ms(0), Some(ms(3_000)));
    unlimited.load(0, 1_000, 60);
    assert!(unlimited.started(0, 1_000) >= 57);
}

/// Guards against other daemons that take the unused slots of a cold upstream
/// for free and send requests that are refused.
#[test]
fn a_load_report_shows_that_a_cold_upstream_takes_nothing() {
    let mut run = Run::new(warm_gate(), ms(100));
    run.load(0, 1_000, 40);
    run.gate.cold_mut().on_entry(ms(1_000), ms(3_000));
    run.load(1_000, 1_200, 40);
    let load = run.gate.load();
    assert!(load.running + load.queued >= load.limit, "{load:?}");
    assert!(load.limit >= 1 && (load.limit as usize) < SLOTS, "{load:?}");
    run.load(1_200, 4_100, 0);
    assert_eq!(run.gate.load().limit as usize, SLOTS);
    assert_eq!(run.gate.load().queued, 0);
}

/// Guards against a new host list for each entry that cold upstreams write, and
/// against a second cold start that is not listed.
#[test]
fn a_cold_start_is_listed_once() {
    let mut periods = Periods::default();
    let mut listed = |at, left| periods.record(ms(at), "i-1", ms(left)).as_millis();
    // Entries arrive with different delays.
    assert_eq!(listed(0, 3_000), 3_000);
    assert_eq!(listed(1_900, 1_500), 3_000);
    assert_eq!(listed(3_000, 0), 0);
    assert_eq!(listed(4_500, 0), 0);
    assert_eq!(listed(6_000, 2_900), 2_900);
    assert_eq!(listed(7_500, 2_800), 2_800, "it became cold again");
    let mut periods = Periods::default();
    let endless = periods.record(ms(1), "i-2", Duration::MAX);
    assert_eq!(periods.record(ms(9), "i-2", Duration::MAX), endless);
}

/// Returns a service time around 100 ms whose logarithm has a standard deviation
/// of `spread`.
fn service_time(rng: &mut ChaCha8Rng, spread: f64) -> Duration {
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    Duration::from_secs_f64(0.1 * (normal * spread).exp())
}

/// Guards against a cold upstream that shows only by its answers, which take
/// twice as long, and is noticed after it got more than the stated maximum of
/// one second; and against many questions to upstreams whose service times
/// vary.
#[test]
fn slower_answers_are_noticed_before_a_second_exceeds_the_maximum() {
    let (mut answers, mut noticed) = (0, 0);
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut slowdown = Slowdown::default();
        for _ in 0..2_000 {
            answers += 1;
            noticed += usize::from(slowdown.record(1, service_time(&mut rng, 0.7)));
        }
    }
    assert!(
        noticed * 100 < answers,
        "{noticed} of {answers} noticed in vain"
    );
    let mut late = 0;
    for seed in 0..200 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut slowdown = Slowdown::default();
        for _ in 0..500 {
            slowdown.record(1, service_time(&mut rng, 0.7));
        }
        let slower = |_: &usize| !slowdown.record(1, 2 * service_time(&mut rng, 0.7));
        let count = (0..1_000).take_while(slower).count() + 1;
        late += usize::from(count > MAX_PER_S);
    }
    assert!(late <= 200 / 20, "{late} of 200 noticed too late");
}

/// Guards against questions to upstreams that get few requests, which a cold one
/// would bear, or that just answered one.
#[test]
fn slower_answers_cause_a_question_only_beyond_the_rate() {
    for (per_s, expected) in [(8, false), (40, true)] {
        let mut run = Run::new(warm_gate(), ms(50));
        run.load(0, 8_000, per_s);
        assert!(!run.gate.cold().should_ask(ms(8_000)));
        run.service = ms(100);
        run.load(8_000, 11_000, per_s);
        assert_eq!(run.gate.cold().should_ask(ms(11_000)), expected);
        run.gate.cold_mut().on_question(ms(11_000));
        run.gate
            .cold_mut()
            .on_report(ms(11_000), Some(Duration::ZERO));
        run.service = ms(200);
        run.load(11_000, 14_000, per_s);
        assert!(!run.gate.cold().should_ask(ms(14_000)));
        assert!(!run.gate.cold().is_limited(ms(14_000)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a pattern of arrivals, signs and service times that gets
    /// more requests to a cold upstream in one second than the stated maximum,
    /// and against requests that are lost or ended twice.
    #[test]
    fn no_second_exceeds_the_maximum(
        rate in 1..60usize,
        service in 1..800u64,
        steps in prop::collection::vec((0..400u64, 0..40usize, 0..12u8), 1..80),
    ) {
        let limits = Limits { requests_per_s: rate, ..LIMITS };
        let mut gate = Gate::with_prior(32, 0.25);
        gate.cold_mut().set_limits(ms(0), Some(limits));
        let mut run = Run::new(gate, ms(service));
        let (mut now, mut sign_at) = (0, 0);
        for (pause, arrivals, event) in steps {
            for at in now..now + pause {
                run.act(ms(at));
            }
            now += pause;
            // The upstream stays cold during the whole history.
            if now >= sign_at + 2_000 {
                run.gate.cold_mut().on_sign(ms(now), Sign::Reopened);
                sign_at = now;
            }
            match event {
                0 => run.gate.cold_mut().on_sign(ms(now), Sign::Instance),
                1 => run.gate.cold_mut().on_report(ms(now), Some(limits.duration)),
                2 => run.gate.cold_mut().on_report(ms(now), None),
                3 => run.gate.cold_mut().on_question(ms(now)),
                4 => run.gate.on_cold_report(ms(now), Some(limits.duration)),
                5 => {
                    run.gate.close();
                    run.gate.reopen(ms(now));
                }
                _ => {}
            }
            run.act(ms(now));
            for _ in 0..arrivals {
                run.arrive(ms(now));
            }
        }
        prop_assert!(most_per_s(&run.starts, ms(0)) <= rate * 3 / 2 + 8);
        // Each request was started or refused once.
        run.act(ms(now + 2_000));
        prop_assert_eq!(run.starts.len() + run.refusals.len(), run.next_id as usize);
    }
}
