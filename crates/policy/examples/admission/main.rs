//! Seeded model of one upstream under load, which compares rules of admission
//! without a network. Prints one line for each pattern, rule and class.
//!
//! Run with `cargo run --release -p savorylane-policy --example admission`.

mod lane;
mod load;
mod order;

use load::Pattern;

/// Seeds over which the figures are averaged.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=5;

/// Fate of the requests of one class, in numbers of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Fate {
    offered: f64,
    on_time: f64,
    late: f64,
    /// Refused although they had waited, and not on arrival.
    displaced: f64,
    /// Credit earned.
    credit: f64,
}

impl Fate {
    fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.on_time += other.on_time;
        self.late += other.late;
        self.displaced += other.displaced;
        self.credit += other.credit;
    }
}

/// Prints the shares of each class and of all; the credit is a share of what
/// answers in time would earn.
fn print(pattern: &Pattern, rule: &str, fates: &[Fate]) {
    let mut all = Fate::default();
    let mut owed = 0.0;
    let line = |class: &str, fate: &Fate, owed: f64| {
        let share = |value: f64| value / fate.offered.max(1.0);
        println!(
            "{:<11} {rule:<12} {class:<6} credit {:.3} on-time {:.3} served {:.3} displaced {:.3}",
            pattern.name,
            fate.credit / owed,
            share(fate.on_time),
            share(fate.on_time + fate.late),
            share(fate.displaced),
        );
    };
    for (class, fate) in pattern.classes.iter().zip(fates) {
        line(class.name, fate, class.worth * fate.offered);
        all.add(fate);
        owed += class.worth * fate.offered;
    }
    line("all", &all, owed);
}

/// Runs a rule with all seeds and prints the fates.
fn compare(pattern: &Pattern, rule: &str, run: impl Fn(u64) -> Vec<Fate>) {
    let mut total = vec![Fate::default(); pattern.classes.len()];
    for seed in SEEDS {
        let fates = run(seed);
        total
            .iter_mut()
            .zip(&fates)
            .for_each(|(sum, fate)| sum.add(fate));
    }
    print(pattern, rule, &total);
}

fn main() {
    for pattern in Pattern::waiting_callers() {
        for rule in lane::Rule::ALL {
            compare(&pattern, rule.name(), |seed| {
                lane::run(&pattern, rule, seed)
            });
        }
    }
    for pattern in Pattern::urgent_calls() {
        for rule in order::Rule::ALL {
            compare(&pattern, rule.name(), |seed| {
                order::run(&pattern, rule, seed)
            });
        }
    }
}
