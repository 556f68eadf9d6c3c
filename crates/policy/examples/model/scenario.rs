//! Scenarios of the model and the summary of a run.

/// Scenario of the model.
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    /// Arrival rate of short work at a time in seconds, as a share of the
    /// capacity.
    pub(crate) load: fn(f64) -> f64,
    pub(crate) duration_s: f64,
    /// Whether some of the hosts are slowed at times.
    pub(crate) slowed: bool,
    /// Arrival rate of long work as a share of the capacity, by slot time.
    pub(crate) long_share: f64,
    /// Whether the hosts are in three regions, two in each, instead of one
    /// data centre.
    pub(crate) regions: bool,
    /// Start and end of the window over which the goodput is measured, in
    /// seconds.
    pub(crate) goodput_window: (f64, f64),
}

fn steady(_: f64) -> f64 {
    0.7
}

/// Load of 0.7 times the capacity that rises to 5 times from 5 s to 7 s and
/// falls back at 25 s.
fn crest(time: f64) -> f64 {
    match time {
        time if time < 5.0 => 0.7,
        time if time < 7.0 => 1.0 + 2.0 * (time - 5.0),
        time if time < 25.0 => 5.0,
        _ => 0.7,
    }
}

impl Scenario {
    pub(crate) fn all() -> Vec<Self> {
        let base = |name| Self {
            name,
            load: steady,
            duration_s: 60.0,
            slowed: false,
            long_share: 0.0,
            regions: false,
            goodput_window: (0.0, 60.0),
        };
        vec![
            base("undisturbed"),
            Self {
                slowed: true,
                ..base("slowed")
            },
            Self {
                regions: true,
                ..base("regions-undisturbed")
            },
            Self {
                regions: true,
                slowed: true,
                ..base("regions-slowed")
            },
            Self {
                long_share: 0.2,
                load: |_| 0.5,
                ..base("uploads")
            },
            Self {
                load: |_| 0.5,
                ..base("no-uploads")
            },
            Self {
                long_share: 0.2,
                load: |_| 2.0,
                duration_s: 20.0,
                ..base("uploads-2x")
            },
            Self {
                load: |_| 2.0,
                duration_s: 20.0,
                ..base("no-uploads-2x")
            },
            Self {
                load: crest,
                duration_s: 32.0,
                goodput_window: (5.0, 25.0),
                ..base("crest")
            },
        ]
    }
}

/// Summary of one run.
#[derive(Default)]
pub(crate) struct Summary {
    /// Response times of answered short requests, in microseconds.
    pub(crate) short_us: Vec<u64>,
    /// Response times of short requests by the number of hosts slowed at the
    /// arrival. A failed request counts with the timeout.
    pub(crate) all_us_by_slowed: [Vec<u64>; 3],
    /// Times until the final refusal of failed requests, in microseconds.
    pub(crate) refused_us: Vec<u64>,
    pub(crate) failed: u64,
    pub(crate) long_answered: u64,
    /// Short answers within the goodput window, as a share of the capacity.
    pub(crate) goodput: f64,
    /// Short answers within the goodput window as a share of the offered
    /// requests, for the class that is shed last and the one shed first.
    pub(crate) goodput_shed_last: f64,
    pub(crate) goodput_shed_first: f64,
    /// Time from the end of the goodput window to the last short answer that
    /// missed the target.
    pub(crate) recovery_s: f64,
    /// Short requests that arrived.
    pub(crate) offered: u64,
    pub(crate) hedges: u64,
    pub(crate) retries: u64,
    pub(crate) answered_in_window: u64,
    /// Answered and offered short requests in the goodput window, by shed
    /// order.
    pub(crate) by_shed_order: [(u64, u64); 2],
}

impl Summary {
    pub(crate) fn answered_share(&self) -> f64 {
        self.short_us.len() as f64 / self.offered as f64
    }

    pub(crate) fn hedged_share(&self) -> f64 {
        self.hedges as f64 / self.offered as f64
    }

    pub(crate) fn retried_share(&self) -> f64 {
        self.retries as f64 / self.offered as f64
    }
}
