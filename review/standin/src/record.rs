//! Record of what was sent, answered and run.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An observation of a client, a target or the operator.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client sent a request.
    Sent {
        id: String,
        kind: &'static str,
        machine: usize,
    },
    /// A client got the final answer; `None` if the connection ended first.
    Answered { id: String, status: Option<u16> },
    /// A target began to work on a request with a body of `bytes` bytes.
    Run {
        id: String,
        target: String,
        bytes: usize,
    },
    /// A target ended while it worked on a request.
    Cut { id: String, target: String },
    /// The operator or the test did something.
    Note(String),
}

#[derive(Clone)]
pub struct Record {
    start: Instant,
    events: Arc<Mutex<Vec<(Duration, Event)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            events: Arc::default(),
        }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, event: Event) -> Duration {
        let mut events = self.events.lock().unwrap();
        let now = self.now();
        events.push((now, event));
        now
    }

    pub fn note(&self, text: impl Into<String>) -> Duration {
        let text = text.into();
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.add(Event::Note(text))
    }

    pub fn events(&self) -> Vec<(Duration, Event)> {
        self.events.lock().unwrap().clone()
    }

    /// Returns the record as text, one observation a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (at, event) in self.events() {
            let line = match event {
                Event::Sent { id, kind, machine } => {
                    format!("sent {id} {kind} at machine {machine}")
                }
                Event::Answered { id, status } => match status {
                    Some(status) => format!("answered {id} {status}"),
                    None => format!("answered {id} no answer"),
                },
                Event::Run { id, target, bytes } => format!("run {id} by {target}, {bytes} bytes"),
                Event::Cut { id, target } => format!("cut {id} at the end of {target}"),
                Event::Note(note) => format!("note {note}"),
            };
            text += &format!("{:9.3} {line}\n", at.as_secs_f64());
        }
        text
    }
}
