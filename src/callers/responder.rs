//! Pending response to a caller or an operator.

use super::body::{IdsResponse, JobResponse, encode_outcome};
use super::problem::Problem;
use crate::http::{Exchange, Reply};
use cardamomslip_core::model::outcome::Outcome;
use cardamomslip_core::model::request::Response as CoreResponse;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A request of a caller or an operator that awaits its response. Responding consumes it.
#[derive(Debug)]
pub struct Responder {
    exchange: Exchange,
    waiting: WaitingGuard,
}

/// A unit of the count of pending requests, subtracted when it is dropped.
#[derive(Debug)]
struct WaitingGuard(Arc<AtomicUsize>);

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Responder {
    /// Wraps a request and adds it to `waiting`, the count of pending requests.
    #[must_use]
    pub fn new(exchange: Exchange, waiting: Arc<AtomicUsize>) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self {
            exchange,
            waiting: WaitingGuard(waiting),
        }
    }

    /// Returns the request.
    #[must_use]
    pub const fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Sends the response of the core.
    pub fn respond(self, response: &CoreResponse) {
        match response {
            CoreResponse::Ids(ids) => {
                let ids = ids.iter().map(ToString::to_string).collect();
                self.respond_json(200, &IdsResponse { ids });
            }
            CoreResponse::Running { id, done, total } => {
                let id = id.to_string();
                self.respond_json(
                    202,
                    &JobResponse::Running {
                        id,
                        done: *done,
                        total: *total,
                    },
                );
            }
            CoreResponse::Answer { id, outcome } => match encode_outcome(*id, outcome) {
                Ok(body) => self.respond_outcome(outcome, body),
                Err(e) => {
                    tracing::error!(error = %e, job = %id, "result of a task is not valid JSON");
                    self.respond_problem(&Problem::new(500, "invalid_result", e.to_string()));
                }
            },
            CoreResponse::Refused(refusal) => self.respond_problem(&Problem::from(*refusal)),
        }
    }

    fn respond_outcome(self, outcome: &Outcome, body: String) {
        if let Outcome::Failed { reason, ran } = outcome
            && let Some(problem) = Problem::from_admission_failure(*reason, *ran)
        {
            self.respond_problem(&problem);
            return;
        }
        self.respond_reply(Reply::json(200, body));
    }

    /// Sends a response with a JSON body.
    pub fn respond_json(self, status: u16, body: &impl serde::Serialize) {
        let Self { exchange, waiting } = self;
        drop(waiting);
        exchange.respond_json(status, body);
    }

    /// Sends a problem.
    pub fn respond_problem(self, problem: &Problem) {
        self.respond_reply(Reply::from(problem));
    }

    /// Sends a prepared response.
    pub fn respond_reply(self, reply: Reply) {
        let Self { exchange, waiting } = self;
        drop(waiting);
        exchange.respond(reply);
    }
}
