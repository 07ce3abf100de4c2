//! Routing and authorization of HTTP requests from callers, operators and the load balancer.

use super::auth::{AuthTable, Principal};
use super::body::{BodyError, IdsBody, JobBody, MAX_KEY_LEN, UnkeyedBody};
use super::problem::Problem;
use super::responder::Responder;
use crate::blocking_pool::BlockingPool;
use crate::http::{Exchange, Reply};
use crate::input::{Input, InputSender};
use crate::operators::OperatorApi;
use crate::settings::Limits;
use cardamomslip_core::model::ids::CustomerId;
use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::request::{JobOp, JobRequest, Request};
use hyper::Method;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

/// Path prefix of the operators' resources.
const OPERATOR_PREFIX: &str = "/v1/operator/";
/// Path prefix of a job's resource; the job id follows.
const JOB_PREFIX: &str = "/v1/jobs/";
/// `Retry-After` of a request beyond the limit on waiting callers.
const TOO_MANY_WAITING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The HTTP service for callers, operators and the load balancer. Clones share their state.
#[derive(Clone, Debug)]
pub struct CallerService {
    limits: Limits,
    auth: AuthTable,
    tx: InputSender,
    operators: OperatorApi,
    blocking: BlockingPool,
    ready: Arc<AtomicBool>,
    waiting: Arc<AtomicUsize>,
}

impl CallerService {
    /// Creates the service. `ready` tells whether the node admits work, and is returned by
    /// `/readyz`.
    #[must_use]
    pub fn new(
        limits: Limits,
        auth: AuthTable,
        tx: InputSender,
        operators: OperatorApi,
        blocking: BlockingPool,
        ready: Arc<AtomicBool>,
    ) -> Self {
        Self {
            limits,
            auth,
            tx,
            operators,
            blocking,
            ready,
            waiting: Arc::default(),
        }
    }

    /// Serves a request. Does not block: operations that may block run on a blocking thread.
    pub fn serve(&self, exchange: Exchange) {
        match exchange.path() {
            "/healthz" => exchange.respond(Reply::text(200, "ok\n".to_owned())),
            "/readyz" => self.serve_readiness(exchange),
            "/metrics" => {
                let operators = self.operators.clone();
                let render = move || exchange.respond(Reply::text(200, operators.render_metrics()));
                self.blocking.spawn(render);
            }
            _ => self.serve_authenticated(exchange),
        }
    }

    fn serve_readiness(&self, exchange: Exchange) {
        let reply = if self.ready.load(Ordering::Relaxed) {
            Reply::text(200, "ready\n".to_owned())
        } else {
            Reply::text(503, "not ready\n".to_owned())
        };
        exchange.respond(reply);
    }

    fn serve_authenticated(&self, exchange: Exchange) {
        let principal = self.auth.authenticate(exchange.header("authorization"));
        let over_limit = self.waiting.load(Ordering::Relaxed) >= self.limits.waiting_callers;
        let responder = Responder::new(exchange, Arc::clone(&self.waiting));
        if let Err(reply) = responder.exchange().body() {
            let problem = body_problem(reply);
            responder.respond_problem(&problem);
            return;
        }
        match principal {
            None => responder.respond_problem(&Problem::new(401, "unauthorized", None)),
            Some(Principal::Operator(name)) => self.serve_operator(responder, name),
            Some(Principal::Customer(_)) if over_limit => {
                let problem = Problem::new(429, "too_many_waiting", None);
                responder
                    .respond_problem(&problem.with_retry_after(Some(TOO_MANY_WAITING_RETRY_AFTER)));
            }
            Some(Principal::Customer(customer)) => {
                match self.parse_request(customer, responder.exchange()) {
                    Ok(req) => self.tx.send(Input::Call(responder, req)),
                    Err(problem) => responder.respond_problem(&problem),
                }
            }
        }
    }

    fn serve_operator(&self, responder: Responder, name: Arc<str>) {
        if !responder.exchange().path().starts_with(OPERATOR_PREFIX) {
            responder.respond_problem(&Problem::new(403, "not_for_operators", None));
            return;
        }
        let operators = self.operators.clone();
        self.blocking
            .spawn(move || operators.serve(responder, OPERATOR_PREFIX, &name));
    }

    fn parse_request(&self, customer: CustomerId, exchange: &Exchange) -> Result<Request, Problem> {
        match (exchange.method(), exchange.path()) {
            (&Method::POST, "/v1/jobs") => self.parse_post_jobs(customer, exchange),
            (&Method::POST, "/v1/requests") => {
                let body: UnkeyedBody = parse_body(exchange)?;
                self.parse_unkeyed(customer, exchange, JobBody::from(body))
            }
            (method, path) => match path.strip_prefix(JOB_PREFIX) {
                Some(id) => self.parse_job_request(customer, exchange, method, id),
                None => Err(Problem::new(404, "no_such_resource", None)),
            },
        }
    }

    fn parse_post_jobs(
        &self,
        customer: CustomerId,
        exchange: &Exchange,
    ) -> Result<Request, Problem> {
        let Some(key) = exchange.header("idempotency-key") else {
            let body: IdsBody = parse_body(exchange)?;
            return Ok(Request::IssueIds {
                customer,
                count: body.count,
            });
        };
        if key.is_empty() || key.len() > MAX_KEY_LEN {
            let detail = format!("Idempotency-Key: must have 1 to {MAX_KEY_LEN} bytes");
            return Err(Problem::new(400, "invalid_key", detail));
        }
        let body: JobBody = parse_body(exchange)?;
        let spec = body
            .into_spec(self.limits.tasks_per_job)
            .map_err(invalid_job)?;
        Ok(Request::SubmitKeyed {
            customer,
            key: key.into(),
            spec,
            wait: self.parse_wait(exchange)?,
        })
    }

    fn parse_unkeyed(
        &self,
        customer: CustomerId,
        exchange: &Exchange,
        body: JobBody,
    ) -> Result<Request, Problem> {
        let spec = body.into_spec(1).map_err(invalid_job)?;
        let wait = self.parse_wait(exchange)?;
        let wait = if wait.is_zero() {
            self.max_wait()
        } else {
            wait
        };
        Ok(Request::SubmitUnkeyed {
            customer,
            spec,
            wait,
        })
    }

    fn parse_job_request(
        &self,
        customer: CustomerId,
        exchange: &Exchange,
        method: &Method,
        id: &str,
    ) -> Result<Request, Problem> {
        let id: JobId = id
            .parse()
            .map_err(|e| Problem::new(404, "no_such_job", format!("{e}")))?;
        let op = match *method {
            Method::PUT => {
                let body: JobBody = parse_body(exchange)?;
                JobOp::Submit(
                    body.into_spec(self.limits.tasks_per_job)
                        .map_err(invalid_job)?,
                )
            }
            Method::GET => JobOp::Fetch,
            Method::DELETE => JobOp::Cancel,
            _ => return Err(Problem::new(405, "method_not_allowed", None)),
        };
        Ok(Request::Job(JobRequest {
            id,
            customer,
            wait: self.parse_wait(exchange)?,
            op,
        }))
    }

    fn max_wait(&self) -> Duration {
        Duration::from_millis(self.limits.wait_ms)
    }

    /// Parses `wait_ms` of the query, capped at the configured limit. Zero if it is absent.
    fn parse_wait(&self, exchange: &Exchange) -> Result<Duration, Problem> {
        let Some(value) = exchange.query("wait_ms") else {
            return Ok(Duration::ZERO);
        };
        let ms: u64 = value
            .parse()
            .map_err(|e| Problem::new(400, "invalid_query", format!("wait_ms: {e}")))?;
        Ok(Duration::from_millis(ms).min(self.max_wait()))
    }
}

fn parse_body<T: DeserializeOwned>(exchange: &Exchange) -> Result<T, Problem> {
    let body = exchange.body().map_err(body_problem)?;
    let body = if body.trim().is_empty() { "{}" } else { body };
    serde_json::from_str(body).map_err(|e| Problem::new(400, "invalid_body", e.to_string()))
}

/// Converts the server's plain-text error about a body into a problem.
fn body_problem(reply: &Reply) -> Problem {
    let kind = match reply.status {
        413 => "body_too_large",
        408 => "body_timeout",
        503 => "no_room",
        _ => "unreadable_body",
    };
    Problem::new(reply.status, kind, reply.body.clone()).with_retry_after(reply.retry_after)
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "used as a function of Result::map_err"
)]
fn invalid_job(e: BodyError) -> Problem {
    Problem::new(422, "invalid_job", e.to_string())
}
