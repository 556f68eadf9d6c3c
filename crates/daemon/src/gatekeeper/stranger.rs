//! Requests of peers that are no hosts of the deployment: the gate learns when
//! such a request waits for its peer, and may give its slot to others.

use std::sync::Arc;

use http::Response;

use crate::body::{Body, Stall};
use crate::kernel::Context;

/// A stranger's request that holds a slot.
#[derive(Clone)]
pub(super) struct Turn {
    context: Arc<Context>,
    id: u64,
}

impl Turn {
    pub(super) fn new(context: &Arc<Context>, id: u64) -> Self {
        let context = Arc::clone(context);
        Self { context, id }
    }

    /// Returns the body of the request, which counts the time for which the
    /// daemon waits for its bytes.
    pub(super) fn receive(&self, body: Body) -> Body {
        let turn = self.clone();
        Stall::of_sender(body, move |is_waiting| turn.set_waiting(is_waiting))
    }

    /// Returns the answer, which counts the time for which it is not read.
    pub(super) fn answer(self, answer: Response<Body>) -> Response<Body> {
        answer.map(|body| Stall::of_reader(body, move |is_waiting| self.set_waiting(is_waiting)))
    }

    fn set_waiting(&self, is_waiting: bool) {
        let gatekeeper = &self.context.gatekeeper;
        let now = gatekeeper.now();
        let gate = &mut gatekeeper.lock().gate;
        match is_waiting {
            true => gate.stall(now, self.id),
            false => gate.resume(now, self.id),
        }
        // The end of the wait may be the next timer.
        gatekeeper.changed.notify_one();
    }
}
