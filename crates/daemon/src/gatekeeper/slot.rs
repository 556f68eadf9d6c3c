//! Slot of the upstream that a request holds.

use std::sync::Arc;

use savorylane_intent::Hash;
use savorylane_policy::gate::Outcome;
use tokio_util::sync::CancellationToken;

use super::{deaths, interruption_by};
use crate::body::{Error, Observer};
use crate::kernel::Context;
use crate::suspects::{self, Trial};

/// A slot of the upstream, or a place in its queue; released when dropped.
pub(super) struct Slot {
    pub(super) context: Arc<Context>,
    pub(super) id: u64,
    pub(super) outcome: Outcome,
    pub(super) fingerprint: Hash,
    /// Cancelled when the request loses its slot, because its peer, a stranger,
    /// is waited for.
    pub(super) displaced: CancellationToken,
    pub(super) _trial: Option<Trial>,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let gatekeeper = &self.context.gatekeeper;
        let answered = self.outcome == Outcome::Answered;
        gatekeeper
            .deaths
            .on_end(gatekeeper.now(), self.id, answered);
        if answered {
            suspects::on_completed(&self.context, &self.fingerprint);
        }
        gatekeeper.finish(self.id, self.outcome);
    }
}

impl Observer for Slot {
    fn on_error(&mut self, error: &Error) {
        // The caller sees the truncated answer at once, so nothing waits for
        // the result.
        let (context, id) = (Arc::clone(&self.context), self.id);
        let (fingerprint, interruption) = (self.fingerprint, interruption_by(error));
        tokio::spawn(async move {
            deaths::on_interruption(&context, id, fingerprint, interruption).await
        });
    }

    fn on_end(mut self, complete: bool) {
        if complete {
            self.outcome = Outcome::Answered;
        }
    }
}
