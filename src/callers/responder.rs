//! The open end of an HTTP request.

use super::body::{IdsAnswer, JobAnswer, answer_json};
use super::problem::Problem;
use cardamomslip_core::model::outcome::Outcome;
use cardamomslip_core::model::request::Response as CoreResponse;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tiny_http::{Header, Request, Response};

/// Media type of answers.
const JSON: &str = "application/json";
/// Media type of refusals.
const PROBLEM_JSON: &str = "application/problem+json";

/// The open end of an HTTP request. Answering consumes it.
pub struct Responder {
    request: Request,
    waiting: Arc<AtomicUsize>,
}

impl fmt::Debug for Responder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Responder")
            .field("url", &self.request.url())
            .finish_non_exhaustive()
    }
}

impl Responder {
    /// Wraps a request; `waiting` counts the open ones.
    #[must_use]
    pub fn new(request: Request, waiting: Arc<AtomicUsize>) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self { request, waiting }
    }

    /// Answers with the response of the core. Blocks until it is written.
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
        self.close_text(200, JSON, body);
    }

    /// Answers with a JSON body.
    pub fn close_json(self, status: u16, body: &impl serde::Serialize) {
        match serde_json::to_string(body) {
            Ok(body) => self.close_text(status, JSON, body),
            Err(e) => tracing::error!(error = %e, "an answer can't be written as JSON"),
        }
    }

    /// Refuses the request.
    pub fn close_problem(self, problem: &Problem) {
        let body = serde_json::to_string(problem).unwrap_or_default();
        let mut response = response(problem.status, PROBLEM_JSON, body);
        if let Some(span) = problem.retry_after {
            response.add_header(header("Retry-After", &whole_seconds(span).to_string()));
        }
        self.write(response);
    }

    /// Answers with a text.
    pub fn close_text(self, status: u16, media_type: &str, body: String) {
        let response = response(status, media_type, body);
        self.write(response);
    }

    fn write(self, response: Response<std::io::Cursor<Vec<u8>>>) {
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        if let Err(e) = self.request.respond(response) {
            tracing::debug!(error = %e, "the caller went away before its answer");
        }
    }

    /// Returns the request, to read it.
    pub const fn request_mut(&mut self) -> &mut Request {
        &mut self.request
    }

    /// Returns the request.
    #[must_use]
    pub const fn request(&self) -> &Request {
        &self.request
    }
}

/// Rounds up, since a caller must not come back too early.
fn whole_seconds(span: Duration) -> u64 {
    span.as_secs() + u64::from(span.subsec_nanos() > 0)
}

fn response(status: u16, media_type: &str, body: String) -> Response<std::io::Cursor<Vec<u8>>> {
    Response::from_string(body)
        .with_status_code(status)
        .with_header(header("Content-Type", media_type))
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("names and values are plain ASCII")
}
