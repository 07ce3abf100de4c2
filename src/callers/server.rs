//! The HTTP server for callers and operators.

use super::auth::{AuthTable, Principal};
use super::body::{BodyError, IdsBody, JobBody, MAX_KEY_LEN, OnceBody};
use super::problem::Problem;
use super::responder::Responder;
use crate::error::{Error, ErrorKind};
use crate::input::{Input, InputSender};
use crate::operators::OperatorApi;
use crate::settings::Limits;
use cardamomslip_core::model::ids::CustomerId;
use cardamomslip_core::model::job_id::JobId;
use cardamomslip_core::model::request::{JobRequest, JobVerb, Request};
use serde::de::DeserializeOwned;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;
use tiny_http::{Method, Server};
use tokio::runtime::Handle;

/// Prefix of the operators' resources.
const OPERATOR_PREFIX: &str = "/v1/operator/";
/// Prefix of a job's resource.
const JOB_PREFIX: &str = "/v1/jobs/";
/// Time after which a caller that met the limit on waiting callers may try again.
const RETRY_WAITING: Duration = Duration::from_secs(1);

/// What the server needs to know.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Limits.
    pub limits: Limits,
    /// Who may do what.
    pub auth: AuthTable,
    /// The way to the node.
    pub tx: InputSender,
    /// The operators' resources.
    pub operators: OperatorApi,
    /// Where requests are handled.
    pub runtime: Handle,
    /// Whether the node admits work; the balancer asks.
    pub ready: Arc<AtomicBool>,
}

/// The HTTP server.
pub struct HttpServer {
    server: Arc<Server>,
    address: SocketAddr,
    thread: JoinHandle<()>,
}

impl std::fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl HttpServer {
    /// Binds `listen` and serves requests.
    ///
    /// # Errors
    ///
    /// Returns an error of kind [`ErrorKind::Listen`] if the socket can't be opened.
    pub fn start(listen: SocketAddr, config: ServerConfig) -> Result<Self, Error> {
        let listen_error = |e: String| Error::new(ErrorKind::Listen, format!("{listen}: {e}"));
        let server = Server::http(listen).map_err(|e| listen_error(e.to_string()))?;
        let address = server.server_addr().to_ip();
        let address = address.ok_or_else(|| listen_error("not an IP socket".to_owned()))?;
        let server = Arc::new(server);
        let shared = Arc::clone(&server);
        let thread = std::thread::spawn(move || accept(&shared, &config));
        Ok(Self {
            server,
            address,
            thread,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops taking requests.
    pub fn close(self) {
        self.server.unblock();
        // A panic of the thread was logged by the panic hook already.
        drop(self.thread.join());
    }
}

fn accept(server: &Server, config: &ServerConfig) {
    let config = Arc::new(config.clone());
    let waiting = Arc::new(AtomicUsize::new(0));
    for request in server.incoming_requests() {
        let responder = Responder::new(request, Arc::clone(&waiting));
        let over_limit = waiting.load(Ordering::Relaxed) > config.limits.waiting_callers;
        let config = Arc::clone(&config);
        config.runtime.clone().spawn_blocking(move || {
            if over_limit {
                refuse_waiting(responder);
            } else {
                serve(&config, responder);
            }
        });
    }
}

fn refuse_waiting(responder: Responder) {
    let problem = Problem::new(429, "too_many_waiting", None);
    responder.close_problem(&problem.with_retry_after(Some(RETRY_WAITING)));
}

fn serve(config: &ServerConfig, responder: Responder) {
    let url = responder.request().url().to_owned();
    let path = url.split('?').next().unwrap_or(&url);
    match path {
        "/healthz" => responder.close_text(200, "text/plain", "ok\n".to_owned()),
        "/readyz" => serve_ready(config, responder),
        "/metrics" => responder.close_text(200, "text/plain", config.operators.metrics()),
        _ => match authenticate(config, &responder) {
            None => responder.close_problem(&Problem::new(401, "unauthorized", None)),
            Some(Principal::Operator(name)) => {
                let resource = path.strip_prefix(OPERATOR_PREFIX).map(str::to_owned);
                serve_operator(config, responder, resource.as_deref(), &name);
            }
            Some(Principal::Customer(customer)) => {
                let caller = CallerCx {
                    config,
                    customer,
                    path,
                    url: &url,
                };
                caller.serve(responder);
            }
        },
    }
}

fn serve_ready(config: &ServerConfig, responder: Responder) {
    if config.ready.load(Ordering::Relaxed) {
        responder.close_text(200, "text/plain", "ready\n".to_owned());
    } else {
        responder.close_text(503, "text/plain", "not ready\n".to_owned());
    }
}

fn authenticate(config: &ServerConfig, responder: &Responder) -> Option<Principal> {
    config.auth.authenticate(header(responder, "Authorization"))
}

fn header<'a>(responder: &'a Responder, name: &str) -> Option<&'a str> {
    let headers = responder.request().headers().iter();
    let mut found =
        headers.filter(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.next().map(|header| header.value.as_str())
}

fn serve_operator(
    config: &ServerConfig,
    mut responder: Responder,
    resource: Option<&str>,
    name: &Arc<str>,
) {
    let Some(resource) = resource else {
        responder.close_problem(&Problem::new(403, "not_for_operators", None));
        return;
    };
    match read_body(&mut responder, config.limits.body_bytes) {
        Ok(body) => config.operators.serve(responder, resource, &body, name),
        Err(problem) => responder.close_problem(&problem),
    }
}

/// Reads the body. One that declares to be too long is refused before it is read.
fn read_body(responder: &mut Responder, limit: usize) -> Result<String, Problem> {
    let too_large = || Problem::new(413, "body_too_large", format!("at most {limit} bytes"));
    let request = responder.request_mut();
    if request.body_length().is_some_and(|len| len > limit) {
        return Err(too_large());
    }
    let mut body = Vec::new();
    let bound = limit as u64 + 1;
    let read = request.as_reader().take(bound).read_to_end(&mut body);
    read.map_err(|e| Problem::new(400, "unreadable_body", e.to_string()))?;
    if body.len() > limit {
        return Err(too_large());
    }
    String::from_utf8(body).map_err(|e| Problem::new(400, "not_utf8", e.to_string()))
}

/// A request of an authenticated customer.
struct CallerCx<'a> {
    config: &'a ServerConfig,
    customer: CustomerId,
    path: &'a str,
    url: &'a str,
}

impl CallerCx<'_> {
    fn serve(&self, mut responder: Responder) {
        match self.parse(&mut responder) {
            Ok(req) => self.config.tx.send(Input::Call(responder, req)),
            Err(problem) => responder.close_problem(&problem),
        }
    }

    fn parse(&self, responder: &mut Responder) -> Result<Request, Problem> {
        let method = responder.request().method().clone();
        match (method, self.path) {
            (Method::Post, "/v1/jobs") => self.parse_post(responder),
            (Method::Post, "/v1/requests") => {
                let body: OnceBody = self.parse_body(responder)?;
                self.once(JobBody::from(body))
            }
            (method, path) if path.starts_with(JOB_PREFIX) => {
                self.parse_job(responder, &method, &path[JOB_PREFIX.len()..])
            }
            _ => Err(Problem::new(404, "no_such_resource", None)),
        }
    }

    fn parse_post(&self, responder: &mut Responder) -> Result<Request, Problem> {
        let key: Option<Arc<str>> = header(responder, "Idempotency-Key").map(Arc::from);
        let customer = self.customer;
        let Some(key) = key else {
            let body: IdsBody = self.parse_body(responder)?;
            return Ok(Request::TakeIds {
                customer,
                count: body.count,
            });
        };
        if key.is_empty() || key.len() > MAX_KEY_LEN {
            let detail = format!("Idempotency-Key: must have 1 to {MAX_KEY_LEN} bytes");
            return Err(Problem::new(400, "invalid_key", detail));
        }
        let body: JobBody = self.parse_body(responder)?;
        let spec = body
            .into_spec(self.config.limits.tasks_per_job)
            .map_err(invalid)?;
        Ok(Request::Keyed {
            customer,
            key,
            spec,
            wait: self.wait()?,
        })
    }

    fn once(&self, body: JobBody) -> Result<Request, Problem> {
        let spec = body.into_spec(1).map_err(invalid)?;
        let wait = self.wait()?;
        let wait = if wait.is_zero() {
            self.longest_wait()
        } else {
            wait
        };
        Ok(Request::Once {
            customer: self.customer,
            spec,
            wait,
        })
    }

    fn parse_job(
        &self,
        responder: &mut Responder,
        method: &Method,
        id: &str,
    ) -> Result<Request, Problem> {
        let id: JobId = id
            .parse()
            .map_err(|e| Problem::new(404, "no_such_job", format!("{e}")))?;
        let verb = match method {
            Method::Put => {
                let body: JobBody = self.parse_body(responder)?;
                let spec = body
                    .into_spec(self.config.limits.tasks_per_job)
                    .map_err(invalid)?;
                JobVerb::Submit(spec)
            }
            Method::Get => JobVerb::Fetch,
            Method::Delete => JobVerb::Cancel,
            _ => return Err(Problem::new(405, "method_not_allowed", None)),
        };
        let wait = self.wait()?;
        Ok(Request::Job(JobRequest {
            id,
            customer: self.customer,
            wait,
            verb,
        }))
    }

    fn parse_body<T: DeserializeOwned>(&self, responder: &mut Responder) -> Result<T, Problem> {
        let body = read_body(responder, self.config.limits.body_bytes)?;
        let body = if body.trim().is_empty() { "{}" } else { &body };
        serde_json::from_str(body).map_err(|e| Problem::new(400, "invalid_body", e.to_string()))
    }

    fn longest_wait(&self) -> Duration {
        Duration::from_millis(self.config.limits.wait_ms)
    }

    /// Reads `wait_ms` of the query, at most the configured limit.
    fn wait(&self) -> Result<Duration, Problem> {
        let query = self.url.split_once('?').map_or("", |(_, query)| query);
        let value = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("wait_ms="));
        let Some(value) = value else {
            return Ok(Duration::ZERO);
        };
        let ms: u64 = value
            .parse()
            .map_err(|e| Problem::new(400, "invalid_query", format!("wait_ms: {e}")))?;
        Ok(Duration::from_millis(ms).min(self.longest_wait()))
    }
}

#[allow(
    clippy::needless_pass_by_value,
    reason = "used as a function of Result::map_err"
)]
fn invalid(e: BodyError) -> Problem {
    Problem::new(422, "invalid_job", e.to_string())
}
