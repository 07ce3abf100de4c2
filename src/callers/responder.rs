//! The open end of a caller's request.

use super::body::{IdsAnswer, JobAnswer, answer_json};
use super::problem::Problem;
use crate::http::{Exchange, Reply};
use cardamomslip_core::model::outcome::Outcome;
use cardamomslip_core::model::request::Response as CoreResponse;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The open end of a caller's or an operator's request. Answering consumes it.
#[derive(Debug)]
pub struct Responder {
    exchange: Exchange,
    waiting: WaitingCount,
}

/// Counts open requests; the count falls when it is dropped.
#[derive(Debug)]
struct WaitingCount(Arc<AtomicUsize>);

impl Drop for WaitingCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Responder {
    /// Wraps a request; `waiting` counts the open ones.
    #[must_use]
    pub fn new(exchange: Exchange, waiting: Arc<AtomicUsize>) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self {
            exchange,
            waiting: WaitingCount(waiting),
        }
    }

    /// Returns the request.
    #[must_use]
    pub const fn exchange(&self) -> &Exchange {
        &self.exchange
    }

    /// Answers with the response of the core.
    pub fn close_with(self, response: &CoreResponse) {
        match response {
            CoreResponse::Ids(ids) => {
                let ids = ids.iter().map(ToString::to_string).collect();
                self.close_json(200, &IdsAnswer { ids });
            }
            CoreResponse::Running { id, done, total } => {
                let id = id.to_string();
                self.close_json(
                    202,
                    &JobAnswer::Running {
                        id,
                        done: *done,
                        total: *total,
                    },
                );
            }
            CoreResponse::Answer { id, outcome } => match answer_json(*id, outcome) {
                Ok(body) => self.close_answer(outcome, body),
                Err(e) => {
                    tracing::error!(error = %e, job = %id, "a result is not JSON");
                    self.close_problem(&Problem::new(500, "invalid_result", e.to_string()));
                }
            },
            CoreResponse::Refused(refusal) => self.close_problem(&Problem::from(*refusal)),
        }
    }

    fn close_answer(self, outcome: &Outcome, body: String) {
        if let Outcome::Failed { reason, ran } = outcome
            && let Some(problem) = Problem::of_failure(*reason, *ran)
        {
            self.close_problem(&problem);
            return;
        }
        self.close_reply(Reply::json(200, body));
    }

    /// Answers with a JSON body.
    pub fn close_json(self, status: u16, body: &impl serde::Serialize) {
        let Self { exchange, waiting } = self;
        drop(waiting);
        exchange.close_json(status, body);
    }

    /// Refuses the request.
    pub fn close_problem(self, problem: &Problem) {
        self.close_reply(Reply::from(problem));
    }

    /// Answers with a response that is made already.
    pub fn close_reply(self, reply: Reply) {
        let Self { exchange, waiting } = self;
        drop(waiting);
        exchange.close_with(reply);
    }
}
