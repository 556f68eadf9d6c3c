//! Timers of the gate, and its opening after the upstream was unreachable.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::{CLOSED_PROBE_INTERVAL, Gatekeeper};

/// Maximum time between two checks of the gate's timers.
const MAX_WAKE_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum time between two checks of the gate's timers, so that a timer that
/// is due but cannot act does not cause a busy loop.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(1);

impl Gatekeeper {
    /// Performs the actions that the gate's timers cause, and tries to connect
    /// to the upstream while the gate is closed, until `stop` is cancelled.
    pub async fn drive(&self, stop: CancellationToken) {
        loop {
            let wake = {
                let mut inner = self.lock();
                inner.perform_actions(self.now());
                inner.gate.wake_at()
            };
            let closed = self.lock().gate.is_closed();
            let wait = match wake {
                _ if closed => CLOSED_PROBE_INTERVAL,
                Some(at) => at.saturating_sub(self.now()).max(MIN_WAKE_INTERVAL),
                None => MAX_WAKE_INTERVAL,
            };
            tokio::select! {
                () = tokio::time::sleep(wait.min(MAX_WAKE_INTERVAL)) => {}
                () = self.changed.notified() => {}
                () = stop.cancelled() => return,
            }
            if closed {
                let reachable = self.upstream.is_reachable().await;
                let mut inner = self.lock();
                let now = self.now();
                if reachable && !self.draining.load(Ordering::Relaxed) {
                    log::info!(
                        target: "dependency", dependency = "upstream", outcome = "regained";
                        "the upstream accepts connections again; the gate is open"
                    );
                    inner.gate.reopen(now);
                    self.notify_cold(&inner, now);
                } else {
                    inner.gate.close();
                }
                inner.perform_actions(now);
            }
        }
    }
}
